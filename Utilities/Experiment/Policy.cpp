#include "Experiment/Policy.h"

namespace Mangofall::Experiment {

namespace {

// The figures of deploy/settings.json.
constexpr Placement::CrossDataCentreOptions templateTraffic{100, 1};

}

std::vector<Policy> standardPolicies()
{
    return {{"owner-cost", true, false},
            {"owner-lateness", true, false, {.reportedLoad = true}},
            {"owner-traffic", true, false, {.crossDataCentre = templateTraffic}},
            {"owner-reservation", true, false, {.advanceReservation = true}},
            {"hosts-cost", true, true},
            {"owner-slots", false, false},
            {"hosts-slots", false, true}};
}

}
