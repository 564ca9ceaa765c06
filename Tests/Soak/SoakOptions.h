#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Mangofall::Soak {

/**
 * \class SoakOptions
 * \brief The size and the seed of one soak.
 */
struct SoakOptions {
    std::string program; ///< mangofall-edge.
    std::string folder; ///< For settings and logs.
    std::uint64_t seed = 1;
    std::size_t hosts = 5;
    std::size_t engines = 6;
    std::size_t plainUpstreams = 2;
    std::size_t callers = 24;
    std::chrono::seconds faultTime{12}; ///< During which faults begin.
};

}
