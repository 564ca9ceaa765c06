#pragma once

#include "Base/ErrorKind.h"
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

struct UpstreamAnswer;

/**
 * \class ForwardingSession
 * \brief Serves one request of a caller: gets it a place, sends it, relays the answer, and sends it again where that is safe.
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

    boost::asio::awaitable<void> run();

    /// Ends the wait for a place with a refusal, also before further attempts: the host is about to end.
    void refuseWaiting();

private:
    using Assignment = Placement::Assignment;
    using GrantOutcome = Placement::GrantOutcome;

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<std::optional<PlacementGateway::Answer>> awaitPlace();
    boost::asio::awaitable<AttemptResult> transmit(const Assignment &assignment);
    /// Sends the request with the memory of its helpers held, if it needs any.
    boost::asio::awaitable<AttemptResult> transmitHolding(const Assignment &assignment);
    boost::asio::awaitable<AttemptResult> receive(UpstreamCall &call, const Assignment &assignment);
    boost::asio::awaitable<AttemptResult> receiveWhole(UpstreamCall &call, const UpstreamAnswer &answer);
    boost::asio::awaitable<AttemptResult> relayStream(UpstreamCall &call, const UpstreamAnswer &answer);
    boost::asio::awaitable<bool> relayEvents(const std::string &events, const UpstreamAnswer &answer);
    /// Prepares another attempt; false if the session ended.
    boost::asio::awaitable<bool> retryAfter(const AttemptResult &transmission);
    boost::asio::awaitable<void> deliver(AttemptResult transmission);
    boost::asio::awaitable<void> answerError(ErrorKind kind, Duration retryAfter);
    /// \p refusal, which says that the request did not run, unless it may have.
    ErrorKind unlessRun(ErrorKind refusal) const;
    boost::asio::awaitable<void> endStream(ErrorKind kind);

    std::vector<MemoryReservation> ticketsFor(const Assignment &assignment) const;
    Placement::PlacementRequest makeDemand();
    AttemptResult silentOrBroken(const boost::system::error_code &error) const;
    Duration answerTimeout(const Assignment &assignment, TimePoint now) const;
    Duration pauseTimeout(TimePoint now) const;
    /// Starts to watch for silence of the upstream that lasts \p limit; each call begins anew.
    void watchSilence(Duration limit);
    /// Gives a silent upstream up if the request may run again and the retry budget pays for it; otherwise goes on waiting.
    void upstreamSilent(Duration limit);
    void callerLeft();
    bool isStream() const;
    void logDecision(std::string_view event, std::string_view detail) const;

    ForwardingContext &m_context;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    std::shared_ptr<const RouteTable> m_routes;
    const RouteRule &m_route;
    const OrganisationRule *m_organisation;
    ServiceId m_service;
    TimePoint m_endsAt; ///< The caller's deadline or the route's timeout, whichever is first.
    RetryPolicy m_policy;
    StreamProgress m_progress;
    std::uint64_t m_fingerprint; ///< Equal for repetitions of the same request.

    boost::asio::steady_timer m_wake; ///< Ends a wait for a place.
    boost::asio::steady_timer m_silence; ///< Ends a wait for an upstream that shows nothing.
    std::optional<PlacementGateway::Answer> m_answer;
    Placement::PlacementRequestId m_demand;
    UpstreamCall *m_call = nullptr;
    std::unordered_set<UpstreamId> m_excluded;
    Duration m_firstPieceEstimate{}; ///< Of the place in use.
    bool m_retryTaken = false; ///< The retry that follows is already paid from the budget, because the upstream was silent.
    bool m_callerGone = false;
    bool m_hostEnding = false; ///< No further attempt is made.
    bool m_done = false;
};

}
