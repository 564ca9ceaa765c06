#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class HttpServerLimits
 * \brief Limits on the size of a caller's request and on the time to send it.
 */
struct HttpServerLimits {
    std::uint32_t headerBytes = 16 * 1024; ///< Maximum size of a request's header.
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024; ///< Maximum size of a request's body.
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to the end of its header.
    Duration bodyTimeout = std::chrono::seconds(60); ///< From the end of a request's header to the end of its body.
    Duration idleTimeout = std::chrono::seconds(60); ///< Time that a connection may wait for its next request.
};

}
