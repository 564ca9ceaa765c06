#include "Forwarding/PendingLoad.h"

#include "Peer/PeerMessages_generated.h"
#include "Placement/PlacementTable.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Mangofall::Forwarding {

namespace {

using std::chrono::milliseconds;

std::uint32_t ageInMilliseconds(Duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

}

void PendingLoad::received(const Placement::ReportedLoad &load, TimePoint now)
{
    m_load = load;
    m_receivedAt = now;
}

void PendingLoad::passTo(Placement::PlacementTable &table, const Placement::PlacementRequestId &id, TimePoint now)
{
    if (m_load) {
        table.loadReported(id, *std::exchange(m_load, std::nullopt), m_receivedAt, now);
    }
}

void PendingLoad::addTo(Wire::PlacementReportT &report, TimePoint now)
{
    if (m_load) {
        report.running = m_load->running;
        report.waiting = m_load->waiting;
        report.slots = m_load->slots;
        report.load_age_ms = ageInMilliseconds(now - m_receivedAt);
        m_load.reset();
    }
}

void passLoad(const Wire::PlacementReportT &report, Placement::PlacementTable &table, const Placement::PlacementRequestId &id, TimePoint now)
{
    if (report.slots > 0) {
        table.loadReported(id, {report.running, report.waiting, report.slots}, now - milliseconds(report.load_age_ms), now);
    }
}

}
