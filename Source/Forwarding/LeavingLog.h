#pragma once

#include "Base/Ids.h"
#include "Placement/DataCentreTraffic.h"

#include <map>
#include <utility>
#include <vector>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Forwarding {

/**
 * \class LeavingLog
 * \brief Writes to the log when the share of a data centre's requests that shall leave it has changed by a tenth.
 */
class LeavingLog
{
public:
    void update(const std::vector<Placement::LeavingReport> &reports, EventLog &log);

private:
    std::map<std::pair<ServiceId, DataCentreId>, double> m_logged; ///< The share in the last line about each data centre.
};

}
