#pragma once

#include "Check/ConfigurationComparison.h"
#include "Check/Finding.h"

#include <optional>
#include <ostream>
#include <vector>

namespace Mangofall::Check {

/**
 * \class CheckReport
 * \brief The result of checking a configuration.
 */
struct CheckReport {
    Findings findings;
    std::optional<std::vector<Difference>> differences; ///< Set if the configuration was compared with the one in force.
};

/// Prints \p report for people, one finding or difference a line.
void printText(const CheckReport &report, std::ostream &output);

/// Prints \p report as one JSON object.
void printJson(const CheckReport &report, std::ostream &output);

}
