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
    double budget = 4500; ///< B/s sent plus received. The remainder of 6 KB/s is for the division of limits, probes and broadcast suspicions.
    std::chrono::milliseconds watchInterval{1000}; ///< Between heartbeats to a watcher.
    std::chrono::milliseconds linkInterval{5000}; ///< Upper bound; the mesh interval applies if it is shorter.
    std::size_t watchers = 2; ///< Per host. Two, because detection must still work if one watcher fails together with the watched host.
    std::size_t linksPerPair = 2; ///< Per ordered pair of data centres. Two, so that one remains while the host at an end of the other is replaced.
    std::size_t loadBytes = 96; ///< Load summary in a heartbeat: 12 upstreams (10,000 runners on 810 hosts) of 8 bytes.
    std::size_t digestLoadBytes = 96; ///< Load summary in a digest: 6 models of 16 bytes.
};

/// A host that the plan covers.
struct PlannedHost {
    HostId host;
    DataCentreId dataCentre;
};

/// A directed link between two hosts that carries digests of \c fromDataCentre.
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
 * Every host sends heartbeats to every host of its data centre at the mesh interval. It also sends them to a few watchers,
 * its successors on a ring of hashed ids, at the shorter watch interval. The end hosts of links between data centres are chosen
 * by rendezvous hashing with a bound on the links per host. Hosts with the same view compute the same plan.
 */
class HeartbeatPlan
{
public:
    HeartbeatPlan(const std::vector<PlannedHost> &hosts, HeartbeatPlanSettings settings);

    /// All other hosts of the data centre of \p host.
    std::vector<HostId> meshTargets(const HostId &host) const;
    /// Hosts that get the heartbeats of \p host at the watch interval.
    std::set<HostId> watchersOf(const HostId &host) const;
    /// Hosts of which \p host is a watcher.
    std::set<HostId> watchedBy(const HostId &host) const;
    std::vector<DataCentreLink> linksFrom(const HostId &host) const;
    const std::vector<DataCentreLink> &links() const;

    /// The counts that determine the membership traffic of \p host.
    HeartbeatTrafficCounts trafficCountsOf(const HostId &host) const;
    Duration watchInterval() const;
    /// Mesh interval in the data centre of \p host; derived from its host with the most traffic, so that all its hosts use the same interval.
    Duration meshInterval(const HostId &host) const;
    Duration linkInterval(const HostId &host) const;
    /// Bytes per second, sent plus received, of \p host under this plan.
    double trafficOf(const HostId &host) const;

private:
    using Ring = std::vector<HostId>;

    const Ring &ringOf(const HostId &host) const;
    std::size_t watcherCount(const Ring &ring) const;
    void planLinks();
    /// Chooses a host of \p ring for each of \p keys by rendezvous hashing, with an even bound on the keys per host.
    std::vector<HostId> assignHosts(const Ring &ring, const std::vector<std::string> &keys) const;

    HeartbeatPlanSettings m_settings;
    std::map<HostId, DataCentreId> m_dataCentreOf;
    std::map<DataCentreId, Ring> m_rings; ///< Hosts in the order of their hashed ids.
    std::vector<DataCentreLink> m_links;
    std::map<HostId, std::size_t> m_linksOut;
    std::map<HostId, std::size_t> m_linksIn;
    std::map<DataCentreId, std::size_t> m_dataCentreLinksIn;
};

}
