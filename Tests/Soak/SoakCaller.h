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
 * \brief Sends one request after the other, keeps its connection as long as the host does, and checks every answer.
 */
class SoakCaller
{
public:
    SoakCaller(boost::asio::io_context &io, SoakFleet &fleet, RunLedger &ledger, std::uint64_t seed, std::size_t index);

    boost::asio::awaitable<void> run(TimePoint end);

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    struct Call {
        std::string attempt;
        SoakKind kind = SoakKind::Stream;
        std::uint64_t events = 0;
        TimePoint sentAt;
    };

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> call();
    Request makeRequest(const Call &call) const;
    Call nextCall();
    CallerEnd judge(const Call &call, const Response &response);
    CallerEnd judgeBroken(const Call &call, const boost::system::error_code &error, const std::string &partial);
    std::string expectedStream(const Call &call) const;

    boost::asio::io_context &m_io;
    SoakFleet &m_fleet;
    RunLedger &m_ledger;
    RandomEngine m_random;
    std::size_t m_index;
    std::uint64_t m_calls = 0;
    std::size_t m_host = 0;
    std::unique_ptr<boost::beast::tcp_stream> m_stream; ///< Kept between calls; null if there is none.
};

}
