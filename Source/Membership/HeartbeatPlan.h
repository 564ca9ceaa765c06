#pragma once

#include "Membership/HeartbeatTraffic.h"

#include "Base/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace Mangofall::Membership {

/**
 * \class HeartbeatPlanSettings
 * \brief Limits from which the heartbeat plan derives who sends to whom and how often.
 */
struct HeartbeatPlanSettings {
    double budget = 4500; ///< B/s sent plus received; the rest of 6 KB/s is for the division of limits, probes and spread suspicions.
    std::chrono::milliseconds watchInterval{1000};
    std::chrono::milliseconds linkInterval{5000}; ///< Upper bound; the mesh interval if that is shorter.
    std::size_t watchers = 2; ///< Detection must survive the death of one watcher together with the watched host.
    std::size_t linksPerPair = 2; ///< Per ordered pair of data centres; one remains while a link's host is being replaced.
    std::size_t loadBytes = 96; ///< 12 upstreams (10,000 runners on 810 hosts) at 8 bytes.
    std::size_t digestLoadBytes = 96; ///< 6 models at 16 bytes.
};

struct PlannedHost {
    HostId host;
    DataCentreId dataCentre;
};

/// A directed link that carries digests of \c fromDataCentre.
struct DataCentreLink {
    HostId from;
    HostId to;
    DataCentreId fromDataCentre;
    DataCentreId toDataCentre;

    friend bool operator==(const DataCentreLink &, const DataCentreLink &) = default;
};

/**
 * \class HeartbeatPlan
 * \brief Decides which host sends heartbeats and digests to which, and at what interval.
 *
 * Every host sends to every host of its data centre at the mesh interval, and to a few watchers, its successors on a
 * ring of hashed ids, at the watch interval. Links between data centres are chosen by rendezvous hashing with a bound on
 * the links per host. Hosts with the same view compute the same plan.
 */
class HeartbeatPlan
{
public:
    HeartbeatPlan(const std::vector<PlannedHost> &hosts, HeartbeatPlanSettings settings);

    /// All other hosts of the data centre of \p host.
    std::vector<HostId> meshTargets(const HostId &host) const;
    /// Hosts that get the heartbeats of \p host at the watch interval.
    std::set<HostId> watchersOf(const HostId &host) const;
    /// Hosts whose watcher \p host is.
    std::set<HostId> watchedBy(const HostId &host) const;
    std::vector<DataCentreLink> linksFrom(const HostId &host) const;
    const std::vector<DataCentreLink> &links() const;

    /// The counts that determine the traffic of \p host.
    HeartbeatTrafficCounts trafficCountsOf(const HostId &host) const;
    Duration watchInterval() const;
    /// Interval for the data centre of \p host; derived from the busiest of its hosts, so that all hosts use the same.
    Duration meshInterval(const HostId &host) const;
    Duration linkInterval(const HostId &host) const;
    /// Bytes per second, sent plus received, of \p host under this plan.
    double trafficOf(const HostId &host) const;

private:
    using Ring = std::vector<HostId>;

    const Ring &ringOf(const HostId &host) const;
    std::size_t watcherCount(const Ring &ring) const;
    void planLinks();
    std::vector<HostId> assign(const Ring &ring, const std::vector<std::string> &keys) const;

    HeartbeatPlanSettings m_settings;
    std::map<HostId, DataCentreId> m_dataCentreOf;
    std::map<DataCentreId, Ring> m_rings; ///< Hosts in the order of their hashed ids.
    std::vector<DataCentreLink> m_links;
    std::map<HostId, std::size_t> m_linksOut;
    std::map<HostId, std::size_t> m_linksIn;
    std::map<DataCentreId, std::size_t> m_dataCentreLinksIn;
};

}
