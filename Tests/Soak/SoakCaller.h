#pragma once

#include "Base/RandomEngine.h"
#include "Soak/RunLedger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Mangofall::Soak {

class SoakFleet;

/**
 * \class SoakCaller
 * \brief Sends one request after the other, reuses its connection until the host closes it, and checks every answer.
 */
class SoakCaller
{
public:
    SoakCaller(boost::asio::io_context &io, SoakFleet &fleet, RunLedger &ledger, std::uint64_t seed, std::size_t index);

    /// Sends requests until \p end and then finishes the last one.
    boost::asio::awaitable<void> run(TimePoint end);
    /// From \p time on, some of the prompts have a part that crashes upstreams.
    void sendHarmfulFrom(TimePoint time);

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    struct RequestPlan {
        std::string attempt; ///< Value of Attempt-Id.
        SoakRequestKind kind = SoakRequestKind::Stream;
        std::uint64_t events = 0; ///< Length of the answer; for streams only.
        TimePoint sentAt;
        bool harmful = false; ///< Whether its prompt has a part that crashes upstreams.
    };

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> sendRequest();
    Request makeRequest(const RequestPlan &plan) const;
    RequestPlan nextRequestPlan();
    CallerOutcome checkResponse(const RequestPlan &plan, const Response &response);
    CallerOutcome checkTransportError(const RequestPlan &plan, const boost::system::error_code &error, const std::string &partial);
    std::string expectedStream(const RequestPlan &plan) const;

    boost::asio::io_context &m_io;
    SoakFleet &m_fleet;
    RunLedger &m_ledger;
    RandomEngine m_random;
    std::size_t m_index;
    std::uint64_t m_requests = 0;
    TimePoint m_harmfulFrom = TimePoint::max();
    std::size_t m_host = 0; ///< Index of the host that the connection leads to.
    std::unique_ptr<boost::beast::tcp_stream> m_stream; ///< The connection, kept between requests; null if there is none.
};

}
