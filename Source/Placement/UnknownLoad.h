#pragma once

#include "Base/Time.h"
#include "Placement/PlacementRequest.h"
#include "Placement/ReportedLoad.h"

#include <cstdint>
#include <deque>
#include <map>

namespace Mangofall::Placement {

/**
 * \class UnknownLoad
 * \brief Estimates how many requests one upstream runs that the owner of the service has not granted.
 *
 * Such load exists while two owners grant the same upstream, or after the host of a request was cut off. A report is as old as the head of the answer that
 * carries it, and the upstream's end of a request is known here only later. So a report gives a range: it shows at least the requests beyond those grants
 * that may have been at the upstream, and at most those beyond the grants that certainly were there. The estimate moves only as far as the range requires.
 * From zero this is the least value, so that the own grants never count as unknown load.
 *
 * Where another owner grants the same upstream, it does so at about the rate of this one. So each grant since the last report counts twice while there is
 * unknown load, up to its amount; otherwise both owners would use the same free slots before the next report.
 */
class UnknownLoad
{
public:
    /// Records a grant of this owner.
    void granted(const PlacementRequestId &id, TimePoint now);
    /// Records a grant that was in use before this owner learned of it. It was part of the unknown load until now.
    void adopted(const PlacementRequestId &id);
    /// Records that a grant is known to have ended.
    void ended(const PlacementRequestId &id, TimePoint now);

    /// Evaluates a report that the upstream made at \p takenAt or shortly before. Reports that are older than the last one or than a second are ignored.
    void reported(const ReportedLoad &report, TimePoint takenAt, TimePoint now);

    /// The number of requests that count as unknown load: in full at first, then less, and none some time after the last report.
    std::uint32_t requests(TimePoint now) const;

private:
    struct EndedGrant {
        TimePoint grantedAt;
        TimePoint endedAt;
    };

    /// The part of \p count that the age of the last report leaves.
    std::uint32_t remaining(std::uint32_t count, TimePoint now) const;
    void forgetEnded(TimePoint now);

    std::map<PlacementRequestId, TimePoint> m_running; ///< When the grants in use were given.
    std::deque<EndedGrant> m_ended; ///< Grants that ended recently, in the order of their ends.
    std::uint32_t m_excess = 0; ///< Requests beyond the known grants in the last report.
    std::uint32_t m_grantedSince = 0; ///< Grants since the last report.
    TimePoint m_takenAt; ///< When the last report was made.
};

}
