#pragma once

#include "Check/ConfigurationPlace.h"
#include "Forwarding/ForwardingConfiguration.h"

#include <string>
#include <vector>

namespace Mangofall::Check {

/// A warning about the meaning of a valid configuration.
struct MeaningWarning {
    ConfigurationPlace place;
    std::string code;
    std::string found;
    std::string allowed;
};

/// Checks what a valid configuration does: routes that never match, services that no route reaches and limits that contradict each other or allow nothing.
/// The work grows with the number of entries times its logarithm, since every entry is looked up once.
std::vector<MeaningWarning> checkMeaning(const Forwarding::ForwardingConfiguration &configuration);

}
