#include "Caller.h"

#include "Deployment.h"
#include "Http/BeastStrings.h"
#include "Record.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::chrono::seconds connectTime{1};
constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
constexpr unsigned httpVersion = 11;

Http::request<Http::string_body> encode(const Attempt &attempt)
{
    Http::request<Http::string_body> request(Http::string_to_verb(attempt.method), attempt.path, httpVersion);
    request.set(Http::field::host, hostName);
    request.set("Attempt-Id", attempt.id);
    request.set("Deadline-Ms", std::to_string(attempt.deadline.count()));
    request.set(Http::field::authorization, std::string("Token ") + apiKey);
    if (!attempt.tokenCounts.empty()) {
        request.set("Model", "m");
        request.set("Token-Counts", attempt.tokenCounts);
        request.set("Prompt-Prefix", attempt.promptPrefix);
    }
    request.body() = attempt.body;
    request.prepare_payload();
    return request;
}

std::string describe(const Attempt &attempt, const Outcome &outcome)
{
    std::string text = "answer " + attempt.id + " status " + std::to_string(outcome.status) + " after " + milliseconds(outcome.took) + " ms";
    text += outcome.complete ? " complete" : " incomplete";
    text += outcome.gaveUp ? ", client left at its deadline" : "";
    text += !outcome.connected ? ", not connected" : "";
    text += outcome.connected && !outcome.complete && !outcome.gaveUp ? ", connection ended" : "";
    text += outcome.keptConnection ? ", kept connection" : "";
    return text;
}

}

Caller::Caller(Asio::io_context &io, NetworkAddress host, Record &record)
    : m_io(io)
    , m_host(std::move(host))
    , m_record(record)
{
}

Asio::awaitable<Outcome> Caller::send(Attempt attempt)
{
    Outcome outcome;
    outcome.keptConnection = m_stream != nullptr;
    outcome.connected = outcome.keptConnection;
    if (!outcome.connected) {
        outcome.connected = co_await connect();
    }
    outcome.sentAt = Clock::now();
    if (outcome.connected) {
        m_record.write("sent " + attempt.id + " to " + m_host.address + " " + attempt.path);
        co_await exchange(attempt, outcome);
    }
    outcome.took = Clock::now() - outcome.sentAt;
    m_record.write(describe(attempt, outcome));
    co_return outcome;
}

Asio::awaitable<bool> Caller::connect()
{
    m_stream = std::make_unique<Beast::tcp_stream>(m_io);
    m_stream->expires_after(connectTime);
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(m_host.address), m_host.port);
    const auto [error] = co_await m_stream->async_connect(endpoint, awaitTuple);
    if (error) {
        m_stream.reset();
        co_return false;
    }
    m_stream->socket().set_option(Asio::ip::tcp::no_delay(true));
    co_return true;
}

Asio::awaitable<void> Caller::exchange(const Attempt &attempt, Outcome &outcome)
{
    const Http::request<Http::string_body> request = encode(attempt);
    Beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    m_stream->expires_after(attempt.deadline);
    boost::system::error_code error = std::get<0>(co_await Http::async_write(*m_stream, request, awaitTuple));
    if (!error) {
        error = std::get<0>(co_await Http::async_read_header(*m_stream, buffer, parser, awaitTuple));
    }
    outcome.anyBytes = buffer.size() > 0 || parser.is_header_done();
    if (parser.is_header_done()) {
        const auto signature = parser.get()["Response-Signature"];
        outcome.status = parser.get().result_int();
        outcome.runnerSignature = std::string(signature.data(), signature.size());
    }
    if (!error) {
        error = std::get<0>(co_await Http::async_read(*m_stream, buffer, parser, awaitTuple));
    }
    outcome.complete = !error;
    outcome.gaveUp = error == Beast::error::timeout;
    if (outcome.complete) {
        outcome.body = parser.get().body();
    }
    if (error || !parser.get().keep_alive()) {
        m_stream.reset();
    }
}

}
