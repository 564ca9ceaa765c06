#pragma once

#include "Base/ErrorKind.h"
#include "Config/OrganisationSpec.h"
#include "Config/RouteSpec.h"
#include "Daemon/CompletionRequest.h"
#include "Http/HttpHandler.h"
#include "Telemetry/TraceContext.h"

#include <memory>
#include <string>

namespace Mangofall {

class AnswerSource;
struct AnswerRequest;
class HttpExchange;
class TrafficWorker;

/**
 * \class CallerHandler
 * \brief Handles the HTTP requests of callers: model requests, plain routes, orders, health and metrics.
 */
class CallerHandler : public HttpHandler
{
public:
    /// \p worker must outlive the handler.
    explicit CallerHandler(TrafficWorker &worker);

    boost::asio::awaitable<void> handle(HttpExchange &exchange) override;
    boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) override;

private:
    /// A caller's request that passed the checks common to all routes.
    struct AdmittedRequest {
        OrganisationSpec organisation; ///< A copy: the configuration may be replaced while the request waits.
        RequestId id;
        TraceContext trace;
        std::uint64_t parentSpanId = 0;
        std::chrono::system_clock::time_point start;
    };

    boost::asio::awaitable<void> route(HttpExchange &exchange, AdmittedRequest admitted);
    boost::asio::awaitable<void> handleCompletion(HttpExchange &exchange, const AdmittedRequest &admitted, CompletionKind kind);
    /// Runs a prompt on several engines, because it exceeds the KV memory of each single engine.
    boost::asio::awaitable<void>
    handleLongPrompt(HttpExchange &exchange, const AdmittedRequest &admitted, const CompletionRequest &request, AnswerRequest answer);
    boost::asio::awaitable<void> writeAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id);
    boost::asio::awaitable<void> streamAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id);
    boost::asio::awaitable<void> collectAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id);
    boost::asio::awaitable<void> handleModels(HttpExchange &exchange);
    boost::asio::awaitable<void> handlePlain(HttpExchange &exchange, const AdmittedRequest &admitted, const RouteSpec &route);
    boost::asio::awaitable<void> handleOrder(HttpExchange &exchange, const AdmittedRequest &admitted, const RouteSpec &route);
    boost::asio::awaitable<void> handleStatus(HttpExchange &exchange);
    boost::asio::awaitable<void> refuse(HttpExchange &exchange, ErrorKind kind, bool notRun, const RequestId &id, std::string message = {});
    /// Ends a stream that already began, with an error event unless the request was cancelled.
    boost::asio::awaitable<void> abortStream(HttpExchange &exchange, ErrorKind kind, const RequestId &id);

    ErrorKind admit(HttpExchange &exchange, AdmittedRequest &admitted);
    void recordSpan(const AdmittedRequest &admitted, const std::string &name, ErrorKind kind);
    void countAnswer(ErrorKind kind);

    TrafficWorker &m_worker;
};

}
