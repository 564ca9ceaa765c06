#pragma once

#include "Experiment/PromptKind.h"
#include "Placement/EngineSpec.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Mangofall::Experiment {

/// A time span from \p start for \p duration in which the rate of arrivals of one kind is multiplied by \p factor.
struct Burst {
    std::size_t kind = 0;
    double factor = 1;
    Duration start{};
    Duration duration{};
};

/// The failure of \p engines engines of a data centre at \p start. They restart after \p duration and are cold then.
struct EngineLoss {
    std::size_t engines = 0;
    std::size_t dataCentre = 0;
    Duration start{};
    Duration duration{};
};

/**
 * \class Scenario
 * \brief A fleet of engines, the requests that callers send to it, and the failures that happen meanwhile.
 */
struct Scenario {
    std::string name;
    Placement::EngineSpec engine;
    std::size_t engines = 0; ///< Spread evenly over the data centres.
    std::size_t hosts = 0; ///< Entry hosts, spread evenly over the data centres.
    std::size_t dataCentres = 1;
    std::size_t organisations = 1; ///< The first of them send the most requests.
    double coldRequestsPerSecond = 0; ///< Limit for each cold engine; 0 means no limit.
    Duration coldTime{}; ///< Time for which a restarted engine is cold.
    Duration duration{}; ///< Time span in which requests arrive.
    std::vector<PromptKind> kinds;
    std::vector<Burst> bursts;
    std::vector<EngineLoss> losses;
};

/// The scenarios that mangofall-experiment knows: a steady mix, bursts of single kinds, overload, and failures of engines.
std::vector<Scenario> standardScenarios();

}
