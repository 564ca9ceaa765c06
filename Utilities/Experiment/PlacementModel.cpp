#include "Experiment/PlacementModel.h"

#include "Experiment/EventQueue.h"
#include "Experiment/Policy.h"
#include "Experiment/Scenario.h"

#include <optional>
#include <utility>

namespace Mangofall::Experiment {

namespace {

constexpr std::chrono::milliseconds tickInterval{20};
// Delay of the reports about the grants of other hosts if each host places its own requests.
constexpr std::chrono::milliseconds reportDelay{200};

}

PlacementModel::PlacementModel(const Scenario &scenario, const Policy &policy, EventQueue &events, Handler handler)
    : m_events(events)
    , m_handler(std::move(handler))
{
    const std::size_t tableCount = policy.perHost ? scenario.hosts : 1;
    Placement::ServiceSpec spec{service(), scenario.coldRequestsPerSecond / static_cast<double>(tableCount), std::nullopt};
    spec.advanceReservation = policy.options.advanceReservation;
    if (policy.byCost) {
        spec.engine = scenario.engine;
    }
    for (std::size_t index = 0; index < tableCount; ++index) {
        m_tables.emplace_back(Placement::PlacementLimits(), m_crashes);
        m_tables.back().setOptions(policy.options);
        m_tables.back().setServices({spec});
    }
    m_events.scheduleAfter(tickInterval, [this] {
        tick();
    });
}

void PlacementModel::setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams)
{
    for (Placement::PlacementTable &table : m_tables) {
        m_handler(table.setUpstreams(upstreams, m_events.now()));
    }
}

void PlacementModel::submit(const Placement::PlacementRequest &placementRequest, std::size_t host)
{
    m_handler(m_tables[tableIndex(host)].submit(placementRequest, m_events.now()));
}

void PlacementModel::recordGrant(const Placement::PlacementRequest &placementRequest, const Placement::Assignment &assignment, std::size_t host)
{
    const Placement::ReportedGrant grant{placementRequest, assignment.upstream, assignment.helpers, true};
    runOnOtherTables(host, [this, grant](Placement::PlacementTable &table) {
        table.adopt(grant, m_events.now());
    });
}

void PlacementModel::recordFirstEvent(const Placement::PlacementRequestId &id, std::size_t host)
{
    m_tables[tableIndex(host)].firstEventReceived(id, m_events.now());
    runOnOtherTables(host, [this, id](Placement::PlacementTable &table) {
        table.firstEventReceived(id, m_events.now());
    });
}

void PlacementModel::recordEnd(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, std::size_t host)
{
    m_handler(m_tables[tableIndex(host)].ended(id, outcome, std::nullopt, m_events.now()));
    runOnOtherTables(host, [this, id](Placement::PlacementTable &table) {
        m_handler(table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, m_events.now()));
    });
}

const ServiceId &PlacementModel::service()
{
    static const ServiceId id("engines");
    return id;
}

std::size_t PlacementModel::tableIndex(std::size_t host) const
{
    return m_tables.size() == 1 ? 0 : host;
}

void PlacementModel::runOnOtherTables(std::size_t host, const std::function<void(Placement::PlacementTable &)> &action)
{
    if (m_tables.size() == 1) {
        return;
    }
    m_events.scheduleAfter(reportDelay, [this, host, action] {
        for (std::size_t index = 0; index < m_tables.size(); ++index) {
            if (index != host) {
                action(m_tables[index]);
            }
        }
    });
}

void PlacementModel::tick()
{
    for (Placement::PlacementTable &table : m_tables) {
        m_handler(table.tick(m_events.now()));
    }
    m_events.scheduleAfter(tickInterval, [this] {
        tick();
    });
}

}
