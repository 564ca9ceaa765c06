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
constexpr std::chrono::milliseconds pauseAfterConnectFailure{100};
constexpr std::chrono::milliseconds deadline{4000};
// How long after the deadline a request may still be answered before it counts as timed out.
constexpr std::chrono::milliseconds lateAnswerTolerance{2500};
// A host may close an idle connection while a request is on its way to it. A request that was lost within this time and that no upstream ran is
// therefore no violation.
constexpr std::chrono::milliseconds closeRaceTime{200};
// A host that was sent SIGTERM must still answer each request that is sent within this time, because callers open connections to it until its readiness
// check has failed twice in a row, and send requests on the connections that they have. The connection of a later request may end without an answer.
constexpr std::chrono::milliseconds stopGraceTime{3000};
constexpr unsigned httpVersion = 11;
constexpr int maxPauseMs = 120;
constexpr std::uint64_t maxEvents = 40;
// One of so many requests of a caller is harmful if it is a stream. A fixed number, so that the callers' random choices stay those of their seeds.
constexpr std::uint64_t harmfulInterval = 12;
// Prompts share their first part with those of other callers.
constexpr std::size_t sharedParts = 4;
// Every second caller has as many parts before the others, as in prompts of long conversations.
constexpr std::size_t longPromptParts = 300;

bool statesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool rejectsValidRequests(unsigned status)
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
        std::chrono::milliseconds pause = pauseAfterConnectFailure;
        if (connected) {
            co_await sendRequest();
            pause = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, maxPauseMs)(m_random));
        }
        Asio::steady_timer timer(m_io, pause);
        co_await timer.async_wait(awaitTuple);
    }
}

void SoakCaller::sendHarmfulFrom(TimePoint time)
{
    m_harmfulFrom = time;
}

Asio::awaitable<bool> SoakCaller::connect()
{
    if (m_stream) {
        co_return true;
    }
    m_host = m_fleet.pickHost(m_random);
    const NetworkAddress address = m_fleet.hosts()[m_host]->callerAddress();
    auto stream = std::make_unique<boost::beast::tcp_stream>(m_io);
    stream->expires_after(connectTimeout);
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(address.address), address.port);
    const auto [error] = co_await stream->async_connect(endpoint, awaitTuple);
    if (!error) {
        m_stream = std::move(stream);
    }
    co_return !error;
}

Asio::awaitable<void> SoakCaller::sendRequest()
{
    const RequestPlan plan = nextRequestPlan();
    m_ledger.recordSent(plan.attempt, {plan.kind, plan.sentAt, m_fleet.hosts()[m_host]->faultFreeSince(), deadline, 0, std::nullopt, plan.harmful});
    const Request request = makeRequest(plan);
    m_stream->expires_after(deadline + lateAnswerTolerance);
    const auto [writeError, written] = co_await Http::async_write(*m_stream, request, awaitTuple);
    if (writeError) {
        m_stream.reset();
        m_ledger.recordOutcome(plan.attempt, checkTransportError(plan, writeError, {}));
        co_return;
    }
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    const auto [readError, read] = co_await Http::async_read(*m_stream, buffer, parser, awaitTuple);
    if (readError) {
        m_stream.reset();
        m_ledger.recordOutcome(plan.attempt, checkTransportError(plan, readError, parser.get().body()));
        co_return;
    }
    const Response response = parser.release();
    if (!response.keep_alive()) {
        m_stream.reset();
    }
    m_ledger.recordOutcome(plan.attempt, checkResponse(plan, response));
}

SoakCaller::RequestPlan SoakCaller::nextRequestPlan()
{
    RequestPlan plan;
    plan.attempt = "a" + std::to_string(m_index) + "-" + std::to_string(++m_requests);
    plan.kind = static_cast<SoakRequestKind>(std::discrete_distribution<int>({6, 2, 2})(m_random)); // Weights in the order of SoakRequestKind.
    plan.events = std::uniform_int_distribution<std::uint64_t>(1, maxEvents)(m_random);
    plan.sentAt = Clock::now();
    plan.harmful = plan.kind == SoakRequestKind::Stream && plan.sentAt >= m_harmfulFrom && (m_requests + m_index) % harmfulInterval == 0;
    return plan;
}

SoakCaller::Request SoakCaller::makeRequest(const RequestPlan &plan) const
{
    const std::string pathPrefix = plan.kind == SoakRequestKind::Stream ? "/stream/" : plan.kind == SoakRequestKind::Once ? "/once/" : "/repeatable/";
    Request request(plan.kind == SoakRequestKind::Repeatable ? Http::verb::get : Http::verb::post, pathPrefix + std::to_string(m_index), httpVersion);
    request.set(Http::field::host, Names::hostName);
    request.set(toBeast(Header::attemptId), plan.attempt);
    request.set(toBeast(Header::deadline), std::to_string(deadline.count()));
    request.set(toBeast(Header::authorization), std::string(Header::credentialScheme) + Names::credential);
    if (plan.kind == SoakRequestKind::Stream) {
        request.set(toBeast(Header::tokenCounts), "2000," + std::to_string(plan.events));
        const std::string harmful = plan.harmful ? std::string(Names::harmfulPart) + ":100," : std::string();
        std::string earlier;
        for (std::size_t part = 0; part < longPromptParts && m_index % 2 == 1; ++part) {
            earlier += "c" + std::to_string(part) + ":1,";
        }
        request.set(toBeast(Header::promptPrefix), earlier + "a" + std::to_string(m_index % sharedParts) + ":900," + harmful + plan.attempt + ":1000");
    }
    if (request.method() == Http::verb::post) {
        request.body() = "prompt of " + plan.attempt;
    }
    request.prepare_payload();
    return request;
}

CallerOutcome SoakCaller::checkResponse(const RequestPlan &plan, const Response &response)
{
    const unsigned status = response.result_int();
    const std::string subject = plan.attempt + " through " + m_fleet.hosts()[m_host]->id();
    const bool signedByUpstream = response.find(toBeast(Header::signature)) != response.end();
    if (status == 200) {
        const std::string expected = plan.kind == SoakRequestKind::Stream ? expectedStream(plan) : completeBody(plan.attempt);
        if (!signedByUpstream || response.body() != expected) {
            m_ledger.reportViolation(subject + " got status 200 without the complete answer of the upstream");
        }
        return CallerOutcome::Answered;
    }
    if (status < 200 || status > 599) {
        m_ledger.reportViolation(subject + " got status " + std::to_string(status) + ", which is no final status");
    }
    if (rejectsValidRequests(status)) {
        m_ledger.reportViolation(subject + " is valid but was rejected with status " + std::to_string(status));
    }
    return statesNotRun(status) ? CallerOutcome::Refused : CallerOutcome::Failed;
}

CallerOutcome SoakCaller::checkTransportError(const RequestPlan &plan, const boost::system::error_code &error, const std::string &partial)
{
    const std::string subject = plan.attempt + " through " + m_fleet.hosts()[m_host]->id();
    const TimePoint now = Clock::now();
    const bool faultFree = m_fleet.wasFaultFree(m_host, plan.sentAt);
    if (error == boost::beast::error::timeout) {
        return faultFree ? CallerOutcome::TimedOut : CallerOutcome::Incomplete;
    }
    if (plan.kind == SoakRequestKind::Stream && !expectedStream(plan).starts_with(partial)) {
        m_ledger.reportViolation(subject + " got events that the upstream did not send");
    }
    const std::optional<TimePoint> stopRequested = m_fleet.hosts()[m_host]->stopRequestedAt();
    const bool withinGraceTime = !stopRequested || plan.sentAt <= *stopRequested + stopGraceTime;
    const RunLedger::Attempt *details = m_ledger.find(plan.attempt);
    const bool accepted = details->runs > 0 || now > plan.sentAt + closeRaceTime;
    if (faultFree && withinGraceTime && accepted) {
        m_ledger.reportViolation(subject + " was accepted, but its connection ended without a complete answer");
    }
    return CallerOutcome::Incomplete;
}

std::string SoakCaller::expectedStream(const RequestPlan &plan) const
{
    std::string text;
    for (std::uint64_t event = 1; event <= plan.events; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: " + eventData(plan.attempt, event) + "\n\n";
    }
    return text;
}

}
