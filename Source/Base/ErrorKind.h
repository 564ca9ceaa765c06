#pragma once

#include <string_view>
#include <system_error>

namespace Mangofall {

/// The closed list of reasons why a request gets no full answer. errorAnswer() maps each to what the caller is told.
enum class ErrorKind {
    None = 0,
    MalformedRequest,
    RequestTooLarge,
    UnknownOrganisation,
    UnknownModel,
    UnknownRoute,
    MissingIdempotencyKey,
    IdempotencyKeyReused, ///< Same key, different body.
    RateLimited, ///< The organisation's limit.
    QueueFull,
    DeadlineUnreachable, ///< Refused at once: it cannot finish by its deadline.
    DeadlineExceeded, ///< Ran out of time after admission.
    PromptNeverFits, ///< More tokens than the model's engines hold together.
    NoUpstream, ///< No upstream may take the request now.
    UpstreamRefused, ///< The upstream answered that it did no work.
    UpstreamFailed, ///< The upstream broke off after it may have started.
    Quarantined, ///< The request crashed upstreams before.
    StoreUnavailable, ///< The platform's store does not answer; orders only.
    OrderInProgress,
    OrderUnknown, ///< The order may have run; operators or the status call settle it.
    HostLeaving,
    NotReady, ///< No configuration yet, or cut off from store and peers.
    Cancelled, ///< The caller left.
    Internal,
};

/// One past the last kind; keeps loops over the list complete.
constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Category of the codes that make_error_code() makes.
const std::error_category &errorCategory();

std::error_code make_error_code(ErrorKind kind);

}

template<>
struct std::is_error_code_enum<Mangofall::ErrorKind> : std::true_type {
};
