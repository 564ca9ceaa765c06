#pragma once

#include "Base/Time.h"
#include "Streams/RetryBudget.h"
#include "Streams/StreamActions.h"
#include "Streams/StreamEvents.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace Mangofall {

/**
 * \class StreamLimits
 * \brief Bounds of one session's memory and patience.
 */
struct StreamLimits {
    std::size_t pauseBytes = std::size_t{64} * 1024; ///< Undelivered text at which reading pauses.
    std::size_t resumeBytes = std::size_t{16} * 1024; ///< Undelivered text at which reading goes on.
    std::size_t maxBytes = std::size_t{128} * 1024; ///< Undelivered text above which tokens are dropped and fetched again later.
    std::size_t replayBytes = std::size_t{64} * 1024; ///< Delivered text kept for a caller that comes back.
    Duration progressTimeout = std::chrono::seconds(5); ///< Without progress for this time the upstream is probed.
    Duration probeTimeout = std::chrono::seconds(1);
    Duration leastTimeToRetry = std::chrono::milliseconds(200); ///< With less time left before the deadline nothing is retried.
    std::uint32_t maxResumes = 3; ///< Resumptions at one upstream without a new token.
};

/**
 * \class StreamRequest
 * \brief What a session needs to know about its request.
 */
struct StreamRequest {
    RequestId id;
    OrganisationId organisation;
    bool idempotent = true;
    TimePoint deadline;
};

/**
 * \class StreamSession
 * \brief One request at its entry host: its attempts, the order of its tokens and its single answer.
 *
 * Feeds on events, returns actions in the order in which to carry them out. After Finish or Fail it returns no action and ignores every event.
 */
class StreamSession
{
public:
    /// \p budget and \p random must outlive the session. \p budget is the one of the request's pool.
    StreamSession(StreamRequest request, const StreamLimits &limits, RetryBudget &budget, RandomEngine &random);

    /// Counts a first attempt and asks for an upstream.
    std::vector<StreamAction> start(TimePoint now);
    std::vector<StreamAction> handle(const StreamEvent &event, TimePoint now);

    const StreamRequest &request() const;
    bool ended() const;
    /// When the next StreamTick is due at the latest.
    TimePoint nextTick() const;
    /// Text held for the caller, delivered or not.
    std::size_t heldBytes() const;
    /// Events of other attempts or connections, duplicates and gaps.
    std::uint64_t droppedEvents() const;

private:
    enum class State {
        BackingOff,
        Choosing,
        Streaming,
        Probing, ///< The connection may still deliver.
        AwaitingDrain, ///< Tokens were dropped; resumes when the caller has caught up.
        Completed, ///< The upstream is done; the caller is not.
        Ended,
    };
    using Actions = std::vector<StreamAction>;

    void on(const UpstreamChosen &event, TimePoint now);
    void on(const UpstreamUnavailable &event, TimePoint now);
    void on(const TokenReceived &event, TimePoint now);
    void on(const StreamCompleted &event, TimePoint now);
    void on(const AttemptRefused &event, TimePoint now);
    void on(const ResumeRejected &event, TimePoint now);
    void on(const ConnectionBroken &event, TimePoint now);
    void on(const ProbeAnswered &event, TimePoint now);
    void on(const UpstreamLost &event, TimePoint now);
    void on(const CallerReady &event, TimePoint now);
    void on(const CallerLeft &event, TimePoint now);
    void on(const CallerReturned &event, TimePoint now);
    void on(const StreamTick &event, TimePoint now);

    bool isCurrent(const AttemptId &attempt, ConnectionNumber connection);
    bool attemptOpen() const;
    void choose();
    void open(bool resumes, TimePoint now);
    void closeConnection();
    void resumeAfterBreak(TimePoint now);
    void probe(TimePoint now);
    /// Gives the current attempt up; tells the upstream to stop if it may still run.
    void abandonAttempt();
    void failOver(ErrorKind reason, TimePoint now);
    void accept(const std::string &text);
    void deliver(TimePoint now);
    void regulateReading(TimePoint now);
    void trimReplay();
    void finish();
    void fail(ErrorKind kind);

    StreamRequest m_request;
    StreamLimits m_limits;
    RetryBudget &m_budget;
    RandomEngine &m_random;
    Actions m_actions;
    State m_state = State::Choosing;

    UpstreamId m_upstream;
    AttemptId m_attempt;
    std::unordered_set<UpstreamId> m_excluded;
    std::uint64_t m_choice = 0;
    ConnectionNumber m_connection = 0;
    bool m_connectionOpen = false;
    bool m_reading = true;
    bool m_resumed = false; ///< The current connection resumes an attempt.
    bool m_attemptMayRun = false; ///< The current attempt was opened and not refused.
    bool m_earlierMayHaveRun = false; ///< An attempt that was given up may have run.
    std::uint32_t m_retries = 0;
    std::uint32_t m_resumes = 0; ///< Since the last new token.
    std::uint64_t m_probe = 0;
    TimePoint m_waitUntil; ///< End of the back-off or of the probe.
    TimePoint m_lastProgress;

    std::deque<std::string> m_tokens; ///< Tokens from m_firstHeld on.
    std::uint32_t m_firstHeld = 0;
    std::uint32_t m_nextDelivery = 0;
    std::uint32_t m_nextToken = 0;
    std::size_t m_heldBytes = 0;
    std::size_t m_undeliveredBytes = 0;
    bool m_callerPresent = true;
    bool m_callerReady = true;
    std::uint64_t m_droppedEvents = 0;
};

}
