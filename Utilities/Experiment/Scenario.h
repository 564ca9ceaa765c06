#pragma once

#include "Experiment/PromptKind.h"
#include "Placement/EngineSpec.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Mangofall::Experiment {

/// The arrivals of one kind are \p factor times the usual from \p start for \p length.
struct Burst {
    std::size_t kind = 0;
    double factor = 1;
    Duration start{};
    Duration length{};
};

/// \p engines engines of a data centre die at \p start; they come back cold after \p length.
struct EngineLoss {
    std::size_t engines = 0;
    std::size_t dataCentre = 0;
    Duration start{};
    Duration length{};
};

/**
 * \class Scenario
 * \brief A fleet of engines, what callers send to it and what goes wrong meanwhile.
 */
struct Scenario {
    std::string name;
    Placement::EngineSpec engine;
    std::size_t engines = 0; ///< Spread evenly over the data centres.
    std::size_t hosts = 0; ///< Entry hosts, spread evenly over the data centres.
    std::size_t dataCentres = 1;
    std::size_t organisations = 1; ///< The first ones send most.
    double coldRequestsPerSecond = 0;
    Duration coldTime{}; ///< For which an engine that came back is cold.
    Duration length{};
    std::vector<PromptKind> kinds;
    std::vector<Burst> bursts;
    std::vector<EngineLoss> losses;
};

/// The scenarios that the command plays when none is named: a steady mix, bursts by kind, and losses of engines.
std::vector<Scenario> standardScenarios();

}
