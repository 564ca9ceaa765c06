#include "Forwarding/Forwarder.h"

#include "Base/AsyncTasks.h"
#include "Base/ErrorAnswer.h"
#include "Forwarding/ForwardingSession.h"
#include "Forwarding/MessageTranslator.h"
#include "Forwarding/RouteTable.h"
#include "Http/HttpExchange.h"
#include "Telemetry/EventLog.h"
#include "Telemetry/ForwardingMetrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>

namespace Mangofall::Forwarding {

namespace {

// A host that has just started receives its routes soon if the store answers. Requests wait for that, but only for a part of the caller's timeout,
// so that a refusal leaves the caller time to try another host.
constexpr int startWaitDivisor = 4;
constexpr std::chrono::milliseconds maxStartWait{2500};
constexpr std::chrono::milliseconds startPollInterval{50};

// Counts a request as active while this object lives, however the request's coroutine ends.
class ActiveRequest
{
public:
    explicit ActiveRequest(std::size_t &count)
        : m_count(count)
    {
        ++m_count;
    }

    ~ActiveRequest()
    {
        --m_count;
    }

    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    std::size_t &m_count;
};

struct Admission {
    ErrorKind error = ErrorKind::None;
    const RouteRule *route = nullptr;
    const OrganisationRule *organisation = nullptr;
};

Admission admit(const RouteTable *routes, const CallerRequest &request)
{
    if (routes == nullptr) {
        return {ErrorKind::NotReady};
    }
    const RouteRule *route = routes->findRoute(request.hostName, request.path);
    if (route == nullptr) {
        return {ErrorKind::UnknownRoute};
    }
    if (route->isPublic || !routes->configuration().requiresCredentials) {
        return {ErrorKind::None, route};
    }
    const OrganisationRule *organisation = request.credential ? routes->findOrganisation(*request.credential) : nullptr;
    return {organisation != nullptr ? ErrorKind::None : ErrorKind::UnknownOrganisation, route, organisation};
}

}

Forwarder::Forwarder(ForwardingContext &context)
    : m_context(context)
{
}

void Forwarder::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
}

const std::shared_ptr<const RouteTable> &Forwarder::routes() const
{
    return m_routes;
}

void Forwarder::startLeaving(TimePoint end)
{
    m_leaving = true;
    m_context.hostEndsAt = end;
}

void Forwarder::refuseNewRequests()
{
    m_refusingNewRequests = true;
}

void Forwarder::refuseWaiting()
{
    for (const std::weak_ptr<ForwardingSession> &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->refuseWaiting();
        }
    }
}

void Forwarder::endRequests()
{
    for (const std::weak_ptr<ForwardingSession> &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->end();
        }
    }
}

std::size_t Forwarder::activeRequestCount() const
{
    return m_activeRequestCount;
}

boost::asio::awaitable<void> Forwarder::handle(HttpExchange &exchange)
{
    const ActiveRequest counted(m_activeRequestCount);
    if (m_leaving) {
        exchange.disableKeepAlive();
    }
    std::string problem;
    try {
        co_await serve(exchange);
    } catch (const std::exception &error) {
        problem = std::string("exception: ") + error.what();
    }
    if (!problem.empty()) {
        co_await answerFailure(exchange, problem);
    }
    if (m_leaving) {
        exchange.disableKeepAlive();
    }
}

boost::asio::awaitable<void> Forwarder::answerFailure(HttpExchange &exchange, const std::string &problem)
{
    m_context.log.write("request_failed", {{"problem", problem}});
    exchange.disableKeepAlive();
    if (exchange.started()) {
        exchange.abortStream();
        co_return;
    }
    const ErrorAnswer &answer = errorAnswer(ErrorKind::Internal);
    m_context.metrics.recordRefusal(std::string(), std::string(answer.name));
    std::string contentType = "application/json";
    std::string body = errorBody(answer);
    HeaderFields fields;
    co_await exchange.respond(static_cast<unsigned>(answer.httpStatus), std::move(contentType), std::move(body), std::move(fields));
}

boost::asio::awaitable<void> Forwarder::serve(HttpExchange &exchange)
{
    std::variant<CallerRequest, ErrorKind> decoded = m_context.translator.decodeRequest(exchange);
    CallerRequest request;
    Admission admission{ErrorKind::MalformedRequest};
    if (auto *valid = std::get_if<CallerRequest>(&decoded)) {
        request = std::move(*valid);
        if (!m_routes) {
            co_await awaitRoutes(request, exchange.receivedAt());
        }
        admission = m_refusingNewRequests ? Admission{ErrorKind::HostLeaving} : admit(m_routes.get(), request);
    } else {
        admission.error = std::get<ErrorKind>(decoded);
    }
    if (admission.error == ErrorKind::None) {
        const auto session = std::make_shared<ForwardingSession>(m_context, exchange, std::move(request), m_routes, *admission.route, admission.organisation);
        const auto position = m_sessions.insert(m_sessions.end(), session);
        std::exception_ptr failure;
        try {
            co_await session->run();
        } catch (...) {
            failure = std::current_exception();
            session->abandon();
        }
        m_sessions.erase(position);
        reportErrors(failure);
        co_return;
    }
    const ErrorAnswer &answer = errorAnswer(admission.error);
    m_context.metrics.recordRefusal(admission.route != nullptr ? admission.route->name : std::string(), std::string(answer.name));
    m_context.log.write("not_admitted",
                        {{"request", request.id.value()},
                         {"host_name", request.hostName},
                         {"path", request.path},
                         {"reason", std::string(answer.name)},
                         {"configuration", std::to_string(m_routes ? m_routes->configuration().version : 0)}});
    std::string contentType = "application/json";
    std::string body = errorBody(answer);
    HeaderFields fields = m_context.translator.localAnswerFields(request, answer.retryAfter);
    co_await exchange.respond(static_cast<unsigned>(answer.httpStatus), std::move(contentType), std::move(body), std::move(fields));
}

boost::asio::awaitable<void> Forwarder::awaitRoutes(const CallerRequest &request, TimePoint receivedAt)
{
    const Duration startWait = request.callerTimeout.value_or(Duration::zero()) / startWaitDivisor;
    const TimePoint giveUpAt = receivedAt + std::min<Duration>(startWait, maxStartWait);
    boost::asio::steady_timer timer(m_context.io);
    while (!m_routes && !m_leaving && std::chrono::steady_clock::now() < giveUpAt) {
        timer.expires_after(startPollInterval);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

boost::asio::awaitable<void> Forwarder::handleUnreadable(HttpExchange &exchange, unsigned status)
{
    const bool busy = status == static_cast<unsigned>(errorAnswer(ErrorKind::HostBusy).httpStatus);
    const ErrorAnswer &answer = errorAnswer(busy ? ErrorKind::HostBusy : ErrorKind::MalformedRequest);
    m_context.metrics.recordRefusal(std::string(), std::string(answer.name));
    m_context.log.write("unreadable_request", {{"status", std::to_string(status)}, {"reason", std::string(answer.name)}});
    HeaderFields fields;
    if (busy) {
        const std::variant<CallerRequest, ErrorKind> decoded = m_context.translator.decodeRequest(exchange);
        const auto *request = std::get_if<CallerRequest>(&decoded);
        fields = m_context.translator.localAnswerFields(request != nullptr ? *request : CallerRequest(), answer.retryAfter);
    }
    std::string contentType = "application/json";
    std::string body = errorBody(answer);
    co_await exchange.respond(status, std::move(contentType), std::move(body), std::move(fields));
}

}
