#pragma once

#include <cstdint>

namespace Mangofall {

/**
 * \class Caps
 * \brief Caps on the requests and prompt tokens that an upstream has in flight.
 */
struct Caps {
    std::uint32_t requests = 0;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens of the requests whose first token has not arrived.

    friend bool operator==(const Caps &, const Caps &) = default;
};

}
