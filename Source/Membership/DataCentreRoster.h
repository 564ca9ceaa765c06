#pragma once

#include "Membership/HostStatus.h"

#include <map>
#include <vector>

namespace Mangofall::Membership {

/**
 * \class DataCentreRoster
 * \brief Claims about all hosts of one data centre.
 */
struct DataCentreRoster {
    DataCentreId dataCentre;
    RegionId region;
    std::map<HostId, HostStatus> hosts;

    friend bool operator==(const DataCentreRoster &, const DataCentreRoster &) = default;
};

/// Copies into \p roster every claim of \p other that is missing there or supersedes the one there; returns whether \p roster changed.
bool merge(DataCentreRoster &roster, const DataCentreRoster &other);

}
