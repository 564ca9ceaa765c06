#pragma once

#include <string_view>
#include <system_error>

namespace Mangofall {

/// All reasons why a request gets no complete answer. errorAnswer() maps each to the answer for the caller.
enum class ErrorKind {
    None = 0,
    MalformedRequest,
    RequestTooLarge,
    UnknownOrganisation,
    UnknownModel,
    UnknownRoute,
    MissingIdempotencyKey,
    IdempotencyKeyReused, ///< The same key was used with a different body.
    RateLimited, ///< The organisation's limit is reached.
    QueueFull,
    DeadlineUnreachable, ///< Refused at once, because the request cannot finish by its deadline.
    DeadlineExceeded, ///< The deadline passed after the request was admitted.
    PromptNeverFits, ///< The prompt has more tokens than the model's engines can hold together.
    NoUpstream, ///< No upstream can accept the request now.
    UpstreamRefused, ///< The upstream answered that it did no work for the request.
    UpstreamFailed, ///< The upstream failed after it may have started to run the request.
    Quarantined, ///< Held back, because upstreams crashed while running the request.
    StoreUnavailable, ///< The platform's store does not answer; orders only.
    OrderInProgress,
    OrderUnknown, ///< The order may have run; the status call of its upstream or an operator resolves it.
    HostLeaving,
    NotReady, ///< The host has no configuration yet, or reaches neither the store nor its peers.
    Cancelled, ///< The caller disconnected before its answer was complete.
    HostBusy, ///< The host has no memory for the request now.
    Internal,
};

/// Number of error kinds; computed from the last one, so that loops and tables cover all kinds.
constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Category of the error codes that make_error_code() returns.
const std::error_category &errorCategory();

std::error_code make_error_code(ErrorKind kind);

}

template<>
struct std::is_error_code_enum<Mangofall::ErrorKind> : std::true_type {
};
