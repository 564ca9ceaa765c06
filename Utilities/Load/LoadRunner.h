#pragma once

#include "Load/LoadPlan.h"
#include "Load/LoadReport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <vector>

namespace Mangofall::Load {

/**
 * \class LoadRunner
 * \brief Sends the requests of a plan at their intended times, however slowly the service answers (open loop).
 */
class LoadRunner
{
public:
    /// Throws std::invalid_argument if a target is not an IP address and a port.
    explicit LoadRunner(LoadOptions options);

    /// Runs the plan; returns when every request has completed or timed out.
    LoadReport run();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    boost::asio::awaitable<void> startRequests(std::vector<PlannedRequest> plan);
    boost::asio::awaitable<void> runRequest(PlannedRequest planned);
    boost::asio::awaitable<void> runCompletion(PlannedRequest planned, RequestResult &result);
    boost::asio::awaitable<void> readAnswer(boost::beast::tcp_stream &stream, TimePoint intendedStartTime, RequestResult &result);
    boost::asio::awaitable<void> runOrder(PlannedRequest planned, RequestResult &result);
    Request makeCompletion(const PlannedRequest &planned) const;
    Request makeOrder(const PlannedRequest &planned) const;
    void addKey(Request &request, const PlannedRequest &planned) const;
    TimePoint intendedStart(const PlannedRequest &planned) const;
    /// Real time at which the request times out.
    TimePoint deadline(const PlannedRequest &planned) const;
    /// Service time elapsed since \p since.
    Duration elapsed(TimePoint since) const;

    LoadOptions m_options;
    std::vector<boost::asio::ip::tcp::endpoint> m_targets;
    boost::asio::io_context m_context;
    TimePoint m_start;
    std::uint32_t m_inFlight = 0;
    LoadReport m_report;
};

}
