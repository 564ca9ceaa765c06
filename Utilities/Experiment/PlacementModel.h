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
 * \brief The placement tables of a policy: one that all entry hosts ask, or one on each of them that learns the others' grants with a delay.
 */
class PlacementModel
{
public:
    using Handler = std::function<void(const Placement::PlacementActions &)>;

    /// \p handler carries out what the tables decide.
    PlacementModel(const Scenario &scenario, const Policy &policy, EventQueue &events, Handler handler);

    void setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams);
    void submit(const Placement::PlacementRequest &placementRequest, std::size_t host);
    void granted(const Placement::PlacementRequest &placementRequest, const Placement::Assignment &assignment, std::size_t host);
    void firstEventReceived(const Placement::PlacementRequestId &id, std::size_t host);
    void ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, std::size_t host);

    static const ServiceId &service();

private:
    std::size_t tableOf(std::size_t host) const;
    /// Runs \p action on the tables of the other hosts after the delay of their reports.
    void share(std::size_t host, const std::function<void(Placement::PlacementTable &)> &action);
    void tick();

    EventQueue &m_events;
    Handler m_handler;
    std::deque<Placement::PlacementTable> m_tables;
};

}
