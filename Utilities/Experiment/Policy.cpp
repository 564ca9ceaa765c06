#include "Experiment/Policy.h"

namespace Mangofall::Experiment {

std::vector<Policy> standardPolicies()
{
    return {{"owner-cost", true, false},
            {"owner-reservation", true, false, true},
            {"hosts-cost", true, true},
            {"owner-slots", false, false},
            {"hosts-slots", false, true}};
}

}
