#pragma once

#include "Admission/DispatcherEvents.h"
#include "Base/Time.h"
#include "Http/UpstreamConnectionPool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Mangofall {

/**
 * \class UpstreamMonitor
 * \brief Polls an upstream's load report; every poll uses a new connection, so an established one that lost its way is noticed.
 */
class UpstreamMonitor : public std::enable_shared_from_this<UpstreamMonitor>
{
public:
    /// Called with each report, or without one after a poll that failed.
    using Handler = std::function<void(const std::optional<DispatcherEvent::LoadReported> &)>;

    UpstreamMonitor(boost::asio::io_context &context, std::string address, std::uint16_t port, Handler handler);

    void start();
    void stop();

    /// One call outside the schedule; \p answered hears whether the upstream responded.
    void probe(std::function<void(bool)> answered);

private:
    boost::asio::awaitable<void> pollRepeatedly();
    boost::asio::awaitable<std::optional<DispatcherEvent::LoadReported>> poll();

    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    Handler m_handler;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

}
