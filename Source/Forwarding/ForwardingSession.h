#pragma once

#include "Base/ErrorKind.h"
#include "Forwarding/AnswerMemory.h"
#include "Forwarding/AttemptResult.h"
#include "Forwarding/CallerRequest.h"
#include "Forwarding/EngineMemoryClient.h"
#include "Forwarding/ForwardingContext.h"
#include "Forwarding/PlacementGateway.h"
#include "Forwarding/RetryPolicy.h"
#include "Forwarding/RouteTable.h"
#include "Forwarding/StreamProgress.h"
#include "Http/UpstreamCall.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Mangofall {
class HttpExchange;
}

namespace Mangofall::Forwarding {

class EventBatch;
class MemoryReservationSet;
struct UpstreamAnswer;

/**
 * \class ForwardingSession
 * \brief Serves one request of a caller: obtains an assignment, sends the request to its upstream, relays the answer, and retries where that is safe.
 */
class ForwardingSession : public std::enable_shared_from_this<ForwardingSession>
{
public:
    /// \p route belongs to \p routes; \p organisation is null for public routes.
    ForwardingSession(ForwardingContext &context,
                      HttpExchange &exchange,
                      CallerRequest request,
                      std::shared_ptr<const RouteTable> routes,
                      const RouteRule &route,
                      const OrganisationRule *organisation);

    /// Serves the request; returns once its answer has ended or the caller has disconnected.
    boost::asio::awaitable<void> run();

    /// Ends the request with an answer, because the host is about to exit.
    void end();

    /// Gives back what the request holds after an exception has ended run().
    void abandon();

    /// Refuses the request if it waits for a grant now or would before a further attempt, because the host is shutting down.
    void refuseWaiting();

private:
    using Assignment = Placement::Assignment;
    using GrantOutcome = Placement::GrantOutcome;

    boost::asio::awaitable<void> serve();
    /// Submits a placement request and waits for the answer; empty if before it the caller disconnects, the host stops or the deadline passes.
    boost::asio::awaitable<std::optional<PlacementGateway::Answer>> awaitPlacement();
    boost::asio::awaitable<AttemptResult> sendToUpstream(const Assignment &assignment);
    /// Calls sendToUpstream() while the memory that the assignment needs on its helpers is reserved, if it needs any.
    boost::asio::awaitable<AttemptResult> sendWithReservations(const Assignment &assignment);
    boost::asio::awaitable<AttemptResult> receive(UpstreamCall &call, const Assignment &assignment);
    boost::asio::awaitable<AttemptResult> receiveWhole(UpstreamCall &call, const UpstreamAnswer &answer);
    boost::asio::awaitable<AttemptResult> relayStream(UpstreamCall &call, const UpstreamAnswer &answer);
    /// Writes the events to the caller, after which they count as received; false if the caller has disconnected.
    boost::asio::awaitable<bool> relayEvents(const EventBatch &batch, const UpstreamAnswer &answer);
    /// Charges the retry budget, unless it was charged already or no upstream was reached, and waits for the backoff after a rejection; false if the budget
    /// is exhausted.
    boost::asio::awaitable<bool> retryAfter(const AttemptResult &attempt);
    boost::asio::awaitable<void> deliver(AttemptResult attempt);
    boost::asio::awaitable<void> answerError(ErrorKind kind, Duration retryAfter);
    /// Returns \p refusal, which asserts that the request did not run, or UpstreamFailed if an attempt may have run.
    ErrorKind unlessMayHaveRun(ErrorKind refusal) const;
    /// Breaks off an answer that has started, so that the caller sees that it is incomplete.
    boost::asio::awaitable<void> failStream(ErrorKind kind);

    /// An upstream of the assignment that this host may not use; empty if there is none.
    std::optional<UpstreamId> unusableUpstream(const Assignment &assignment) const;
    /// Records what the upstream says about itself, here and at the owner.
    void recordNotice(const UpstreamId &upstream, const UpstreamAnswer &answer);
    /// Whether the host shuts down before an answer from the assigned upstream can be expected.
    bool outlastsHost(const Assignment &assignment) const;
    std::vector<MemoryReservation> reservationsFor(const Assignment &assignment) const;
    Placement::PlacementRequest makePlacementRequest();
    /// Result of an attempt whose answer had to be given up for the memory that all answers take.
    static AttemptResult revokedAttempt();
    /// Result of an attempt whose answer timed out or broke off with \p error.
    AttemptResult interruptedAttempt(const boost::system::error_code &error) const;
    /// Time without an answer or first event after which the upstream counts as silent.
    Duration answerTimeout(const Assignment &assignment, TimePoint now) const;
    /// Time without further events after which the upstream counts as silent.
    Duration pauseTimeout(TimePoint now) const;
    /// Restarts the timer that calls onUpstreamSilent() after \p limit. Stops it if the request may not run again.
    void startSilenceTimer(Duration limit);
    /// Cancels the call to an upstream that sent nothing for \p limit if the retry budget allows a retry; otherwise keeps waiting.
    void onUpstreamSilent(Duration limit);
    void onCallerDisconnected();
    void onAnswerMemoryRevoked();
    bool isStream() const;
    /// Logs what the request has in common with others, because \p upstream broke it off or because it is held back.
    void logSuspects(std::string_view event, const UpstreamId &upstream) const;
    void logDecision(std::string_view event, std::string_view detail) const;

    ForwardingContext &m_context;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    std::shared_ptr<const RouteTable> m_routes;
    const RouteRule &m_route;
    const OrganisationRule *m_organisation;
    ServiceId m_service;
    TimePoint m_deadline; ///< The caller's deadline or the route's timeout, whichever is first.
    RetryPolicy m_policy;
    StreamProgress m_progress;
    std::uint64_t m_fingerprint; ///< Equal for repetitions of the same request.

    boost::asio::steady_timer m_waitTimer; ///< Ends a wait for a grant or a backoff.
    boost::asio::steady_timer m_silenceTimer; ///< Expires when the upstream has sent nothing for too long.
    std::vector<Placement::SuspectId> m_sharedParts; ///< Hashes of the shared parts of the prompt.
    std::string m_sharedPartNames; ///< Their ids, for log lines.
    std::optional<PlacementGateway::Answer> m_answer; ///< To the current placement request.
    Placement::PlacementRequestId m_placementRequestId;
    std::weak_ptr<MemoryReservationSet> m_reservations; ///< Of the attempt in progress.
    UpstreamCall *m_call = nullptr; ///< The call of the attempt in progress.
    std::optional<AnswerMemory::Share> m_answerShare; ///< Of the latest attempt; its answer may still be on the way to the caller.
    std::unordered_set<UpstreamId> m_excluded; ///< Upstreams that further placement requests exclude.
    bool m_answerBegan = false; ///< Whether the present attempt has brought an event.
    Duration m_firstEventEstimate{}; ///< Estimate from the current assignment.
    bool m_placementRequested = false; ///< Whether a placement request has been made.
    bool m_borrowsRetry = false; ///< Whether the next placement request asks the owner for a retry.
    bool m_retryCharged = false; ///< The retry budget was charged for the next retry when the upstream was found silent.
    bool m_callerDisconnected = false;
    bool m_hostEnding = false; ///< The host is about to exit: the request ends now.
    bool m_hostStopping = false; ///< The host is shutting down: no further attempt is made.
    bool m_finished = false;
};

}
