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
 * \brief Memory bounds, timeouts and retry limits of one session.
 */
struct StreamLimits {
    std::size_t pauseBytes = std::size_t{64} * 1024; ///< Undelivered text at which reading from the upstream pauses.
    std::size_t resumeBytes = std::size_t{16} * 1024; ///< Undelivered text at which reading from the upstream resumes.
    std::size_t maxBytes = std::size_t{128} * 1024; ///< Undelivered text above which tokens are dropped and requested again later.
    std::size_t replayBytes = std::size_t{64} * 1024; ///< Delivered text that is kept for a caller that reconnects.
    Duration progressTimeout = std::chrono::seconds(5); ///< Time without a new token after which the upstream is probed.
    Duration probeTimeout = std::chrono::seconds(1); ///< Time after which an unanswered probe counts as failed.
    Duration minTimeToRetry = std::chrono::milliseconds(200); ///< With less time than this left before the deadline, nothing is retried.
    std::uint32_t maxResumes = 3; ///< Maximum number of resumptions of one attempt without a new token.
};

/**
 * \class StreamRequest
 * \brief Properties of the request that its session depends on.
 */
struct StreamRequest {
    RequestId id;
    OrganisationId organisation;
    bool idempotent = true;
    TimePoint deadline;
};

/**
 * \class StreamSession
 * \brief State machine of one request at its entry host: makes the attempts, delivers the tokens in order and ends the answer exactly once.
 *
 * Handles events and returns the actions to carry out, in order. After Finish or Fail it ignores every event and returns no action.
 */
class StreamSession
{
public:
    /// \p budget is the retry budget of the request's upstream pool. \p budget and \p random must outlive the session.
    StreamSession(StreamRequest request, const StreamLimits &limits, RetryBudget &budget, RandomEngine &random);

    /// Counts the first attempt in the retry budget and requests an upstream.
    std::vector<StreamAction> start(TimePoint now);
    /// Processes one event and returns the actions to carry out, in order.
    std::vector<StreamAction> handle(const StreamEvent &event, TimePoint now);

    const StreamRequest &request() const;
    /// Whether Finish or Fail was returned.
    bool ended() const;
    /// Latest time at which the next StreamTick is due.
    TimePoint nextTick() const;
    /// Buffered text in bytes, both undelivered and kept for replay.
    std::size_t bufferedBytes() const;
    /// Number of ignored events, for example those of other attempts or connections, duplicate tokens and tokens after a gap.
    std::uint64_t droppedEvents() const;

private:
    enum class State {
        BackingOff,
        Choosing,
        Streaming,
        Probing, ///< A probe is running; the connection may still deliver tokens.
        AwaitingDrain, ///< Tokens were dropped because the buffer was full; the attempt resumes when the caller has read enough.
        Completed, ///< The upstream sent the whole answer; the caller has not received all of it.
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

    /// Whether an event belongs to the open connection of the current attempt; counts a dropped event if not.
    bool isCurrent(const AttemptId &attempt, ConnectionNumber connection);
    bool attemptOpen() const;
    void choose();
    void open(bool resumes, TimePoint now);
    void closeConnection();
    void resumeAfterBreak(TimePoint now);
    void probe(TimePoint now);
    /// Gives up the current attempt and cancels it at the upstream if it may still be running there.
    void abandonAttempt();
    /// Gives up the current attempt and starts the backoff before another upstream is chosen; fails with \p reason if no retry is allowed.
    void failOver(ErrorKind reason, TimePoint now);
    void appendToken(const std::string &text);
    void deliver(TimePoint now);
    /// Pauses or resumes reading from the upstream, depending on the undelivered text.
    void pauseOrResumeReading(TimePoint now);
    /// Discards the oldest delivered text beyond replayBytes.
    void trimReplayBuffer();
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
    bool m_resumesAttempt = false; ///< Whether the current connection resumes an attempt instead of starting it.
    bool m_attemptMayRun = false; ///< Whether the current attempt was opened and not refused.
    bool m_earlierAttemptMayHaveRun = false; ///< Whether an attempt that was given up may have run.
    std::uint32_t m_retries = 0;
    std::uint32_t m_resumes = 0; ///< Resumptions since the last new token.
    std::uint64_t m_probe = 0;
    TimePoint m_waitUntil; ///< End of the backoff or deadline of the probe.
    TimePoint m_lastProgress;

    std::deque<std::string> m_tokens; ///< Buffered tokens; the first one has the index m_firstBuffered.
    std::uint32_t m_firstBuffered = 0;
    std::uint32_t m_nextDelivery = 0; ///< Index of the next token to deliver to the caller.
    std::uint32_t m_nextToken = 0; ///< Index of the next token expected from the upstream.
    std::size_t m_bufferedBytes = 0;
    std::size_t m_undeliveredBytes = 0;
    bool m_callerPresent = true;
    bool m_callerReady = true; ///< Whether a Deliver may be sent now.
    std::uint64_t m_droppedEvents = 0;
};

}
