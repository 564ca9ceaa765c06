#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Forwarding/RequestKind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Mangofall::Forwarding {

/// One of the services among which a route divides its requests.
struct WeightedService {
    ServiceId service;
    std::uint32_t weight = 1;
};

/**
 * \class RouteRule
 * \brief How requests for one host name and path prefix are served.
 */
struct RouteRule {
    std::string name;
    std::string hostName;
    std::string pathPrefix; ///< Starts and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout{}; ///< Longest time from a request's arrival to the end of its answer.
    Duration target{}; ///< Longest time to the answer, or to its first event, that counts as on time.
    Duration pauseLimit{}; ///< Longest pause between events that counts as on time; zero for whole answers.
    std::uint32_t maxRuns = 1; ///< Most upstreams on which one request may run.
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool isPublic = false; ///< No credential is needed.
    bool resumable = false; ///< Another upstream can continue a stream after an event given by its id.
    std::vector<WeightedService> services; ///< Not empty.
};

}
