#pragma once

#include "Placement/PlacementTable.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace Mangofall::Experiment {

class EventQueue;
struct Policy;
struct Scenario;

/**
 * \class PlacementModel
 * \brief The placement tables of a policy: one table for all entry hosts, or one for each entry host that learns the grants of the others with a delay.
 */
class PlacementModel
{
public:
    using Handler = std::function<void(const Placement::PlacementActions &)>;

    /// \p handler is called with the grants and refusals of the tables.
    PlacementModel(const Scenario &scenario, const Policy &policy, EventQueue &events, Handler handler);

    void setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams);
    /// Passes a placement request of the entry host \p host to its table.
    void submit(const Placement::PlacementRequest &placementRequest, std::size_t host);
    void recordGrant(const Placement::PlacementRequest &placementRequest, const Placement::Assignment &assignment, std::size_t host);
    void recordFirstEvent(const Placement::PlacementRequestId &id, std::size_t host);
    void recordEnd(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, std::size_t host);

    static const ServiceId &service();

private:
    std::size_t tableIndex(std::size_t host) const;
    /// Runs \p action on the tables of all hosts but \p host after the delay of the reports.
    void runOnOtherTables(std::size_t host, const std::function<void(Placement::PlacementTable &)> &action);
    void tick();

    EventQueue &m_events;
    Handler m_handler;
    Placement::CrashRecord m_crashes; ///< Stays empty, because no request of the model crashes engines.
    std::deque<Placement::PlacementTable> m_tables;
};

}
