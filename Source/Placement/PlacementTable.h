#pragma once

#include "Placement/CrashRecord.h"
#include "Placement/GrantOutcome.h"
#include "Placement/PlacementActions.h"
#include "Placement/ServiceSpec.h"
#include "Placement/UpstreamLoad.h"
#include "Placement/UpstreamSelector.h"
#include "Placement/WaitForecast.h"
#include "Placement/WaitingWork.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class PlacementLimits
 * \brief Bounds of the placement queue.
 */
struct PlacementLimits {
    std::size_t maxWaiting = 2000; ///< Demands that wait, over all services.
    Duration grantSlack = std::chrono::seconds(1); ///< A grant whose end is not reported ends this long after its deadline.
    Duration orphanTime = std::chrono::milliseconds(1500); ///< Grants of a host that went away end after this time unless it reports them again.
    Duration serveInterval = std::chrono::milliseconds(5); ///< The waiting demands are looked through at most this often when places become free.
    Duration overdueInterval = std::chrono::milliseconds(250); ///< Between checks for grants whose end was not reported.
    Duration noUpstreamWait = std::chrono::milliseconds(1500); ///< How long a demand waits for a service without any upstream.
};

/// A grant that another owner gave and that is still in use, reported by its entry host.
struct ReportedGrant {
    PlacementRequest placementRequest;
    UpstreamId upstream;
    std::vector<UpstreamId> helpers;
    bool reading = true;
};

/**
 * \class PlacementTable
 * \brief Decides where requests run: holds what each upstream is doing and the demands that wait for a place.
 *
 * One host owns the table of a service; the others ask it. Two owners for a moment are harmless, because upstreams refuse what they cannot take.
 */
class PlacementTable
{
public:
    explicit PlacementTable(const PlacementLimits &limits);
    ~PlacementTable();

    void setServices(const std::vector<ServiceSpec> &services);
    PlacementActions setUpstreams(const std::vector<UpstreamEntry> &upstreams, TimePoint now);

    PlacementActions submit(const PlacementRequest &placementRequest, TimePoint now);
    void firstEventReceived(const PlacementRequestId &id);
    /// The work ended, or the caller left while the demand waited. \p faulty names the helper at fault if it was not the upstream itself.
    PlacementActions ended(const PlacementRequestId &id, GrantOutcome outcome, const std::optional<UpstreamId> &faulty, TimePoint now);
    /// Grants nothing of \p service before \p time, so that grants of the former owner can be reported first.
    void pauseGrantsUntil(const ServiceId &service, TimePoint time);
    /// Takes over a grant that this table did not give or has forgotten.
    void adopt(const ReportedGrant &grant, TimePoint now);
    /// The host's grants end soon unless it reports them again.
    void hostLost(const HostId &host, TimePoint now);
    PlacementActions tick(TimePoint now);

    std::size_t waiting() const;
    std::size_t granted() const;
    /// The load of one upstream; null if it is not known.
    const UpstreamLoad *load(const UpstreamId &id) const;

private:
    struct Service {
        ServiceSpec spec;
        std::unique_ptr<UpstreamSelector> selector;
        std::vector<UpstreamLoad *> upstreams; ///< That accept work.
        TimePoint heldUntil; ///< Nothing is granted before this time.
        WaitForecast forecast;
        WaitingWork workAhead; ///< Of the waiting demands that were gone through in the present round.
    };
    struct GrantRecord {
        UpstreamId upstream;
        std::vector<UpstreamId> helpers;
        std::uint64_t fingerprint = 0;
        TimePoint grantedAt;
        TimePoint endsAt; ///< Ends without a report at this time.
    };
    struct Waiting {
        PlacementRequest placementRequest;
        TimePoint latestStart;
        Duration work{}; ///< Time of one upstream that it takes.
        bool needsCalm = false;
    };

    UpstreamLoad *find(const UpstreamId &id);
    static UpstreamSelector::Candidates candidates(const Service &service, const PlacementRequest &placementRequest, TimePoint now);
    std::optional<Grant> tryGrant(const PlacementRequest &placementRequest, TimePoint now);
    std::optional<Refusal> refusal(const Waiting &waiting, TimePoint now) const;
    /// Whether nothing goes before a demand that needs calm; right after a change of owner others are on their way.
    static bool mayStart(const Service &service, const Waiting &waiting, TimePoint now);
    /// Whether the demand can get a place in time after the work before it.
    static bool reachable(const Service &service, const Waiting &waiting, TimePoint now);
    /// Serves the demands that wait, unless that was done a moment ago: then the next tick does it.
    PlacementActions placeFreed(TimePoint now);
    PlacementActions serveWaiting(TimePoint now);
    void indexUpstreams();
    void endOverdueGrants(TimePoint now);
    void release(const PlacementRequestId &id);

    PlacementLimits m_limits;
    std::map<ServiceId, Service> m_services;
    std::map<UpstreamId, UpstreamLoad> m_upstreams;
    std::map<PlacementRequestId, GrantRecord> m_grants;
    std::vector<Waiting> m_waiting;
    TimePoint m_servedAt; ///< When the waiting demands were last served.
    TimePoint m_overdueCheckedAt;
    CrashRecord m_crashes;
};

}
