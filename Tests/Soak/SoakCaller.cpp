#include "Soak/SoakCaller.h"

#include "HeaderNames.h"
#include "Http/BeastStrings.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakNames.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <random>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
namespace Header = Platform::Header;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::chrono::milliseconds connectTimeout{1000};
constexpr std::chrono::milliseconds pauseAfterFailure{100};
constexpr std::chrono::milliseconds deadline{4000};
// How long after the deadline an answer may still come before the request counts as forgotten.
constexpr std::chrono::milliseconds hangSlack{2500};
// A connection that a host closes while a request is on its way to it is no loss.
constexpr std::chrono::milliseconds crossingTime{200};
// Connections go to a stopping host until its readiness was asked for twice; requests that come later than this may be cut.
constexpr std::chrono::milliseconds stopNotice{3000};
constexpr unsigned httpVersion = 11;
constexpr int longestPauseMs = 120;
constexpr std::uint64_t mostEvents = 40;

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool deniesProperRequests(unsigned status)
{
    return status == 400 || status == 401 || status == 403 || status == 404 || status == 413 || status == 431;
}

}

SoakCaller::SoakCaller(Asio::io_context &io, SoakFleet &fleet, RunLedger &ledger, std::uint64_t seed, std::size_t index)
    : m_io(io)
    , m_fleet(fleet)
    , m_ledger(ledger)
    , m_random(seed, index)
    , m_index(index)
{
}

Asio::awaitable<void> SoakCaller::run(TimePoint end)
{
    while (Clock::now() < end) {
        const bool connected = co_await connect();
        std::chrono::milliseconds pause = pauseAfterFailure;
        if (connected) {
            co_await call();
            pause = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, longestPauseMs)(m_random));
        }
        Asio::steady_timer timer(m_io, pause);
        co_await timer.async_wait(awaitTuple);
    }
}

Asio::awaitable<bool> SoakCaller::connect()
{
    if (m_stream) {
        co_return true;
    }
    m_host = m_fleet.pickHost(m_random);
    const NetworkAddress address = m_fleet.hosts()[m_host]->callers();
    auto stream = std::make_unique<boost::beast::tcp_stream>(m_io);
    stream->expires_after(connectTimeout);
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(address.address), address.port);
    const auto [error] = co_await stream->async_connect(endpoint, awaitTuple);
    if (!error) {
        m_stream = std::move(stream);
    }
    co_return !error;
}

Asio::awaitable<void> SoakCaller::call()
{
    const Call call = nextCall();
    m_ledger.sent(call.attempt, {call.kind, call.sentAt, m_fleet.hosts()[m_host]->undisturbedSince(), deadline, 0, std::nullopt});
    const Request request = makeRequest(call);
    m_stream->expires_after(deadline + hangSlack);
    const auto [writeError, written] = co_await Http::async_write(*m_stream, request, awaitTuple);
    if (writeError) {
        m_stream.reset();
        m_ledger.ended(call.attempt, judgeBroken(call, writeError, {}));
        co_return;
    }
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    const auto [readError, read] = co_await Http::async_read(*m_stream, buffer, parser, awaitTuple);
    if (readError) {
        m_stream.reset();
        m_ledger.ended(call.attempt, judgeBroken(call, readError, parser.get().body()));
        co_return;
    }
    const Response response = parser.release();
    if (!response.keep_alive()) {
        m_stream.reset();
    }
    m_ledger.ended(call.attempt, judge(call, response));
}

SoakCaller::Call SoakCaller::nextCall()
{
    Call call;
    call.attempt = "a" + std::to_string(m_index) + "-" + std::to_string(++m_calls);
    call.kind = static_cast<SoakKind>(std::discrete_distribution<int>({6, 2, 2})(m_random)); // In the order of SoakKind.
    call.events = std::uniform_int_distribution<std::uint64_t>(1, mostEvents)(m_random);
    call.sentAt = Clock::now();
    return call;
}

SoakCaller::Request SoakCaller::makeRequest(const Call &call) const
{
    const std::string folder = call.kind == SoakKind::Stream ? "/stream/" : call.kind == SoakKind::Once ? "/once/" : "/repeatable/";
    Request request(call.kind == SoakKind::Repeatable ? Http::verb::get : Http::verb::post, folder + std::to_string(m_index), httpVersion);
    request.set(Http::field::host, Names::hostName);
    request.set(toBeast(Header::attemptId), call.attempt);
    request.set(toBeast(Header::deadline), std::to_string(deadline.count()));
    request.set(toBeast(Header::authorization), std::string(Header::credentialScheme) + Names::credential);
    if (call.kind == SoakKind::Stream) {
        request.set(toBeast(Header::tokenCounts), "2000," + std::to_string(call.events));
    }
    if (request.method() == Http::verb::post) {
        request.body() = "prompt of " + call.attempt;
    }
    request.prepare_payload();
    return request;
}

CallerEnd SoakCaller::judge(const Call &call, const Response &response)
{
    const unsigned status = response.result_int();
    const std::string about = call.attempt + " through " + m_fleet.hosts()[m_host]->id();
    const bool signedByUpstream = response.find(toBeast(Header::signature)) != response.end();
    if (status == 200) {
        const std::string expected = call.kind == SoakKind::Stream ? expectedStream(call) : wholeBody(call.attempt);
        if (!signedByUpstream || response.body() != expected) {
            m_ledger.broken(about + " got a success that is not the upstream's whole answer");
        }
        return CallerEnd::Answered;
    }
    if (deniesProperRequests(status)) {
        m_ledger.broken(about + " was denied with " + std::to_string(status));
    }
    return promisesNotRun(status) ? CallerEnd::Refused : CallerEnd::Failed;
}

CallerEnd SoakCaller::judgeBroken(const Call &call, const boost::system::error_code &error, const std::string &partial)
{
    const std::string about = call.attempt + " through " + m_fleet.hosts()[m_host]->id();
    const TimePoint now = Clock::now();
    const bool planned = m_fleet.onlyPlannedSince(m_host, call.sentAt);
    if (error == boost::beast::error::timeout) {
        return planned ? CallerEnd::Hung : CallerEnd::Broken;
    }
    if (call.kind == SoakKind::Stream && !expectedStream(call).starts_with(partial)) {
        m_ledger.broken(about + " got events that are not the upstream's");
    }
    const std::optional<TimePoint> stopping = m_fleet.hosts()[m_host]->terminatedAt();
    const bool inTime = !stopping || call.sentAt <= *stopping + stopNotice;
    const RunLedger::Attempt *details = m_ledger.find(call.attempt);
    const bool taken = details->runs > 0 || now > call.sentAt + crossingTime;
    if (planned && inTime && taken) {
        m_ledger.broken(about + " was taken and its connection ended without a whole answer");
    }
    return CallerEnd::Broken;
}

std::string SoakCaller::expectedStream(const Call &call) const
{
    std::string text;
    for (std::uint64_t event = 1; event <= call.events; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: " + eventData(call.attempt, event) + "\n\n";
    }
    return text;
}

}
