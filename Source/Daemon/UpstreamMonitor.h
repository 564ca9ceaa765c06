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
 * \brief Polls an upstream's load report. Every poll opens a new connection, because an established one may have failed unnoticed.
 */
class UpstreamMonitor : public std::enable_shared_from_this<UpstreamMonitor>
{
public:
    /// Called with the report of each poll, or with an empty value after a failed poll.
    using Handler = std::function<void(const std::optional<DispatcherEvent::LoadReported> &)>;

    UpstreamMonitor(boost::asio::io_context &context, std::string address, std::uint16_t port, Handler handler);

    void start();
    void stop();

    /// Polls once outside the schedule and calls \p answered with whether the upstream responded.
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
