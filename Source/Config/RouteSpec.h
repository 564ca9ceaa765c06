#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <string>

namespace Mangofall {

/**
 * \class RouteSpec
 * \brief A path prefix whose requests are forwarded to a plain service, one that is not a model.
 */
struct RouteSpec {
    std::string pathPrefix;
    ServiceId service;
    bool idempotent = true; ///< If false, requests need an Idempotency-Key and run at most once.
    std::string statusPath; ///< Path prefix of the service's status call, to which the order key is appended; empty if it has none.
    std::chrono::milliseconds deadline{10'000}; ///< Time allowed for a request.

    friend bool operator==(const RouteSpec &, const RouteSpec &) = default;
};

}
