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
 * \brief The callers' side of a host: admits requests by route and credential and serves each with a session.
 */
class Forwarder final : public HttpHandler
{
public:
    /// \p context must outlive the forwarder.
    explicit Forwarder(ForwardingContext &context);

    /// The configuration in force for requests that arrive from now on.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    const std::shared_ptr<const RouteTable> &routes() const;

    /// Each further answer ends its connection.
    void startLeaving();

    /// Requests that come from now on are refused, because their answers could be cut off by the end of the process.
    void refuseNewRequests();

    /// Requests that still wait for a place are refused, because they could not be answered before the end of the process.
    void refuseWaiting();

    /// Requests in progress.
    std::size_t activeRequestCount() const;

    boost::asio::awaitable<void> handle(HttpExchange &exchange) override;
    boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) override;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    /// Waits for the first configuration as long as the caller's patience allows.
    boost::asio::awaitable<void> awaitRoutes(const CallerRequest &request, TimePoint receivedAt);

    ForwardingContext &m_context;
    std::shared_ptr<const RouteTable> m_routes;
    bool m_leaving = false;
    bool m_refusing = false;
    std::size_t m_active = 0;
    std::list<std::weak_ptr<ForwardingSession>> m_sessions; ///< Those in progress.
};

}
