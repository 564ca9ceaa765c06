#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class HttpServerLimits
 * \brief What a caller may send and how long it may take.
 */
struct HttpServerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to the end of its header.
    Duration bodyTimeout = std::chrono::seconds(60);
    Duration idleTimeout = std::chrono::seconds(60); ///< Between the requests of a connection.
};

}
