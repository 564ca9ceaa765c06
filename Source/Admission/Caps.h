#pragma once

#include <cstdint>

namespace Mangofall {

/**
 * \class Caps
 * \brief Upper bounds of what an upstream has in flight.
 */
struct Caps {
    std::uint32_t requests = 0;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens of requests without a first token.

    friend bool operator==(const Caps &, const Caps &) = default;
};

}
