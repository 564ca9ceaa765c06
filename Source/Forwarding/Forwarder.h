#pragma once

#include "Base/Time.h"
#include "Forwarding/ForwardingContext.h"
#include "Http/HttpHandler.h"

#include <cstddef>
#include <list>
#include <memory>

namespace Mangofall::Forwarding {

class ForwardingSession;
class RouteTable;
struct CallerRequest;

/**
 * \class Forwarder
 * \brief HTTP handler for callers: admits requests by route and credential and runs a ForwardingSession for each.
 */
class Forwarder final : public HttpHandler
{
public:
    /// \p context must outlive the forwarder.
    explicit Forwarder(ForwardingContext &context);

    /// Sets the configuration for requests that arrive from now on.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    /// The configuration in force; null before the first one arrives.
    const std::shared_ptr<const RouteTable> &routes() const;

    /// Closes each connection after its next answer, because the host is shutting down. Requests that would not be done by \p end are not sent any more.
    void startLeaving(TimePoint end);

    /// Refuses requests that arrive from now on, because the process could exit before they are answered.
    void refuseNewRequests();

    /// Refuses requests that still wait for a grant, because they could not be answered before the process exits.
    void refuseWaiting();

    /// Ends all requests with an answer that tells whether they may have run, because the process is about to exit.
    void endRequests();

    /// Number of requests in progress.
    std::size_t activeRequestCount() const;

    boost::asio::awaitable<void> handle(HttpExchange &exchange) override;
    boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) override;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    /// Ends a request that could not be served because of an exception. Nothing is known about whether it ran.
    boost::asio::awaitable<void> answerFailure(HttpExchange &exchange, const std::string &problem);
    /// Waits for the first configuration, for a share of the caller's timeout counted from \p receivedAt.
    boost::asio::awaitable<void> awaitRoutes(const CallerRequest &request, TimePoint receivedAt);

    ForwardingContext &m_context;
    std::shared_ptr<const RouteTable> m_routes;
    bool m_leaving = false;
    bool m_refusingNewRequests = false;
    std::size_t m_activeRequestCount = 0;
    std::list<std::weak_ptr<ForwardingSession>> m_sessions; ///< Sessions in progress.
};

}
