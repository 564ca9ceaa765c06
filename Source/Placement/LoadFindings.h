#pragma once

#include <cstddef>

namespace Mangofall::Placement {

/**
 * \class LoadFindings
 * \brief What the answers of upstreams show that the grants of the owner do not explain.
 */
struct LoadFindings {
    std::size_t unknownRequests = 0; ///< Requests that upstreams run beyond the grants.
    std::size_t slowUpstreams = 0; ///< Upstreams that are slower than the others of their service, compared with the estimates.
};

}
