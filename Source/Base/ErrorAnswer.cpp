#include "Base/ErrorAnswer.h"

#include <array>

namespace Mangofall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds noRetry{0};
constexpr milliseconds retrySoon{200};
constexpr milliseconds retryLater{2000};

// clang-format off
constexpr std::array<ErrorAnswer, errorKindCount> errorAnswers = {{
    {"none", "no error", 200, NotRunRule::Never, false, noRetry},
    {"malformed_request", "the request is malformed", 400, NotRunRule::IfNothingSent, false, noRetry},
    {"request_too_large", "the request body exceeds the limit", 413, NotRunRule::IfNothingSent, false, noRetry},
    {"unknown_organisation", "the organisation is not configured", 401, NotRunRule::IfNothingSent, false, noRetry},
    {"unknown_model", "the model is not configured", 404, NotRunRule::IfNothingSent, false, noRetry},
    {"unknown_route", "the route is not configured", 404, NotRunRule::IfNothingSent, false, noRetry},
    {"missing_idempotency_key", "this route requires an Idempotency-Key header", 400, NotRunRule::IfNothingSent, false, noRetry},
    {"idempotency_key_reused", "the Idempotency-Key was used with a different body", 422, NotRunRule::IfNothingSent, false, noRetry},
    {"rate_limited", "the organisation's limit is reached", 429, NotRunRule::IfNothingSent, true, retryLater},
    {"queue_full", "the queue is full", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"deadline_unreachable", "the request cannot finish by its deadline", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"deadline_exceeded", "the deadline passed", 504, NotRunRule::IfNothingSent, true, retryLater},
    {"prompt_never_fits", "the prompt exceeds what the model's upstreams can hold", 422, NotRunRule::IfNothingSent, false, noRetry},
    {"no_upstream", "no upstream can take the request now", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"upstream_refused", "the upstream refused the request before any work", 503, NotRunRule::IfNothingSent, true, retrySoon},
    {"upstream_failed", "the upstream failed", 502, NotRunRule::IfNothingSent, true, retrySoon},
    {"quarantined", "the request is held back because upstreams crashed while running it", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"store_unavailable", "the platform's store does not answer", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"order_in_progress", "an order with this key is in progress", 409, NotRunRule::Never, true, retrySoon},
    {"order_unknown", "it is not known whether the order ran", 502, NotRunRule::Never, false, noRetry},
    {"host_leaving", "the host is shutting down", 503, NotRunRule::IfNothingSent, true, retrySoon},
    {"not_ready", "the host is not ready", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"cancelled", "the caller cancelled the request", 499, NotRunRule::Never, false, noRetry},
    {"host_busy", "the host has no memory for the request now", 503, NotRunRule::IfNothingSent, true, retryLater},
    {"internal", "internal error", 500, NotRunRule::Never, false, noRetry},
}};
// clang-format on

class MangofallErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "mangofall";
    }

    std::string message(int value) const override
    {
        if (value < 0 || value >= errorKindCount) {
            return "unknown error " + std::to_string(value);
        }
        return std::string(errorAnswers[static_cast<std::size_t>(value)].message);
    }
};

}

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return errorAnswers[static_cast<std::size_t>(kind)];
}

std::string errorBody(const ErrorAnswer &answer)
{
    return "{\"error\":\"" + std::string(answer.name) + "\",\"message\":\"" + std::string(answer.message) + "\"}";
}

bool reportsNotRun(ErrorKind kind, bool bytesSent)
{
    return errorAnswer(kind).notRunRule == NotRunRule::IfNothingSent && !bytesSent;
}

const std::error_category &errorCategory()
{
    static const MangofallErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorKind kind)
{
    return {static_cast<int>(kind), errorCategory()};
}

}
