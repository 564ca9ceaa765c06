#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <string>

namespace Mangofall {

/**
 * \class RouteSpec
 * \brief A path prefix that is forwarded to a plain service.
 */
struct RouteSpec {
    std::string pathPrefix;
    ServiceId service;
    bool idempotent = true; ///< False: calls need an Idempotency-Key and run at most once.
    std::string statusPath; ///< Path prefix of the service's status call; the order key is appended. Empty: none.
    std::chrono::milliseconds deadline{10'000};

    friend bool operator==(const RouteSpec &, const RouteSpec &) = default;
};

}
