#pragma once

#include "Base/Time.h"
#include "Placement/PlacementRequest.h"
#include "Placement/ReportedLoad.h"

#include <optional>

namespace Mangofall::Placement {
class PlacementTable;
}

namespace Mangofall::Wire {
struct PlacementReportT;
}

namespace Mangofall::Forwarding {

/**
 * \class PendingLoad
 * \brief The load that an upstream has reported in an answer, until it is passed to the owner with the next report about the request.
 */
class PendingLoad
{
public:
    /// Keeps a report whose header arrived at \p now.
    void received(const Placement::ReportedLoad &load, TimePoint now);

    /// Passes the load, if there is one, to the table of this host, for the grant \p id.
    void passTo(Placement::PlacementTable &table, const Placement::PlacementRequestId &id, TimePoint now);
    /// Adds the load, if there is one, to a report to another host.
    void addTo(Wire::PlacementReportT &report, TimePoint now);

private:
    std::optional<Placement::ReportedLoad> m_load;
    TimePoint m_receivedAt;
};

/// Passes the load in a report of another host about the grant \p id, if there is one, to the table.
void passLoad(const Wire::PlacementReportT &report, Placement::PlacementTable &table, const Placement::PlacementRequestId &id, TimePoint now);

}
