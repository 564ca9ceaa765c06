#pragma once

#include "Membership/HostStatus.h"

#include <map>
#include <vector>

namespace Mangofall::Membership {

/**
 * \class DataCentreRoster
 * \brief Claims about all hosts of one data centre; the value that the data centre's roster writer keeps in the store.
 */
struct DataCentreRoster {
    DataCentreId dataCentre;
    RegionId region;
    std::map<HostId, HostStatus> hosts;

    friend bool operator==(const DataCentreRoster &, const DataCentreRoster &) = default;
};

/// Takes every claim of \p other that supersedes that of \p roster; returns whether anything changed.
bool merge(DataCentreRoster &roster, const DataCentreRoster &other);

}
