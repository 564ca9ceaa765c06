#pragma once

#include "Placement/CrashRecord.h"
#include "Placement/DataCentreOutages.h"
#include "Placement/DataCentreTraffic.h"
#include "Placement/GrantOutcome.h"
#include "Placement/LoadFindings.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementOptions.h"
#include "Placement/ReservationTable.h"
#include "Placement/ServiceSpec.h"
#include "Placement/UpstreamLoad.h"
#include "Placement/UpstreamSelector.h"
#include "Placement/WaitForecast.h"
#include "Placement/WaitingWork.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class PlacementLimits
 * \brief Limits and intervals of the placement queue and of grants.
 */
struct PlacementLimits {
    std::size_t maxWaiting = 2000; ///< Placement requests that wait, over all services.
    Duration grantSlack = std::chrono::seconds(1); ///< A grant whose end is not reported ends this long after the deadline of its request.
    Duration lostHostGrantTime = std::chrono::milliseconds(1500); ///< Grants of a lost host end after this time unless the host reports them again.
    Duration serveInterval = std::chrono::milliseconds(5); ///< Least time between two passes over the waiting requests that ended grants cause.
    Duration overdueInterval = std::chrono::milliseconds(250); ///< Time between checks for grants whose end was not reported.
    Duration noUpstreamWait = std::chrono::milliseconds(1500); ///< How long a request waits for a service without any upstream.
};

/// A grant in use that another owner gave, as its entry host reports it.
struct ReportedGrant {
    PlacementRequest placementRequest;
    UpstreamId upstream;
    std::vector<UpstreamId> helpers;
    bool reading = true; ///< Whether the prompt is still in prefill.
};

/**
 * \class PlacementTable
 * \brief Chooses the upstreams that run requests. Holds the load of each upstream and the placement requests that wait.
 *
 * One host owns the table of a service, and the other hosts send it their placement requests. Two owners for a short time are harmless, because
 * upstreams refuse requests beyond their capacity.
 */
class PlacementTable
{
public:
    /// \p crashes must outlive the table.
    PlacementTable(const PlacementLimits &limits, CrashRecord &crashes);
    ~PlacementTable();

    /// Enables parts; all of them are disabled at first. Must be called before setServices().
    void setOptions(const PlacementOptions &options);
    void setServices(const std::vector<ServiceSpec> &services);
    PlacementActions setUpstreams(const std::vector<UpstreamEntry> &upstreams, TimePoint now);

    /// Grants or refuses the placement request at once, or lets it wait. A grant of the same request, which then has not reached its host, ends.
    PlacementActions submit(const PlacementRequest &request, TimePoint now);
    /// The entry host has the grant and has sent the request by \p now.
    void useBegan(const PlacementRequestId &id, TimePoint now);
    /// The entry host got the first event of the answer, so the prefill is complete.
    void firstEventReceived(const PlacementRequestId &id, TimePoint now);
    /// The assigned upstream has reported its load, at \p takenAt, in its answer. Without effect unless the option is set, or if the report
    /// names other slots than the upstream list.
    void loadReported(const PlacementRequestId &id, const ReportedLoad &report, TimePoint takenAt, TimePoint now);
    /// The use of the grant ended, or the placement request was withdrawn while it waited. \p faulty is the helper that caused the failure; unset if it
    /// was the upstream itself.
    PlacementActions ended(const PlacementRequestId &id, GrantOutcome outcome, const std::optional<UpstreamId> &faulty, TimePoint now);
    /// An upstream has said something about itself in an answer to \p host. Ignored if another process, with another \p start, has the id now.
    void noticeReceived(const HostId &host, const UpstreamId &upstream, std::uint64_t start, const UpstreamNotice &notice, TimePoint now);
    /// Grants nothing for \p service before \p time, so that entry hosts can report the grants of the previous owner first.
    void pauseGrantsUntil(const ServiceId &service, TimePoint time);
    /// The same for all services.
    void pauseAllGrantsUntil(TimePoint time);
    /// Assumes that other owners have used up the rates of the cold upstreams of \p service until \p now, because their records are not known here.
    void assumeColdRatesUsed(const ServiceId &service, TimePoint now);
    /// The same for all services, also for upstreams that this table does not know yet.
    void assumeAllColdRatesUsed(TimePoint now);
    /// Sets the parts of the rates of cold upstreams that this host may use. Before the first call it may use all of them; from then on nothing of those that
    /// are not named.
    void setColdShares(const std::map<ServiceId, ColdShare> &shares);
    /// Adds a grant in use that this table did not give or no longer has.
    void adopt(const ReportedGrant &grant, TimePoint now);
    /// Removes the waiting requests of a lost host and ends its grants soon unless the host reports them again.
    void hostLost(const HostId &host, TimePoint now);
    PlacementActions tick(TimePoint now);

    /// Returns and clears what has happened to the reservations of engines since the last call.
    ReservationEvents takeReservationEvents();
    ReservationCounts reservationCounts() const;

    std::size_t waiting() const;
    std::size_t granted() const;
    /// When the request got a grant that is in use or on its way; unset if it has none.
    std::optional<TimePoint> grantedAt(const PlacementRequestId &id) const;
    /// The time until which some upstream is cold.
    TimePoint coldUntil() const;
    /// The services with cold upstreams, and whether the share of the rate that this host may use is used up at one of them, although the whole rate is not.
    std::map<ServiceId, bool> coldServices(TimePoint now) const;
    /// Whether the upstream is known as cold.
    bool isCold(const UpstreamId &upstream, TimePoint now) const;
    /// The load of one upstream; null if the upstream is not known.
    const UpstreamLoad *load(const UpstreamId &id) const;
    LoadFindings findings(TimePoint now) const;
    /// The shares of requests that leave their data centres; empty unless the option is set.
    std::vector<LeavingReport> leavingReports(TimePoint now) const;

private:
    struct Service {
        ServiceSpec spec;
        std::shared_ptr<DataCentreTraffic> traffic; ///< Null unless requests leave their data centre by cost.
        std::unique_ptr<UpstreamSelector> selector;
        std::vector<UpstreamLoad *> upstreams; ///< The upstreams that accept requests.
        TimePoint grantsPausedUntil; ///< Nothing is granted before this time.
        WaitForecast forecast;
        std::optional<ReservationTable> reservations; ///< For prompts that exceed one engine; unset if engines are not reserved for them.
        WaitingWork workAhead; ///< Work of the waiting requests that the present pass over the queue has left waiting.
    };
    struct GrantRecord {
        ServiceId service;
        DataCentreId home; ///< The data centre in which the request arrived.
        UpstreamId upstream;
        std::vector<UpstreamId> helpers;
        TimePoint grantedAt;
        TimePoint endsAt; ///< When the grant ends if its end is not reported.
        std::vector<SuspectId> sharedParts; ///< Of the request's prompt.
        std::uint64_t fingerprint = 0;
        std::optional<CrashRecord::TrialGround> trial; ///< Set if the grant tests suspects of crashes.
        Duration estimate{}; ///< Time to the first event that was expected, without the factor of a slow upstream; zero if it tells nothing.
    };
    struct Waiting {
        PlacementRequest request;
        TimePoint latestStart;
        Duration work{}; ///< Upstream time that the request takes altogether.
        bool needsLowLoad = false;
    };

    static std::optional<ReservationTable> makeReservations(const ServiceSpec &spec);
    UpstreamLoad *find(const UpstreamId &id);
    Service makeService(const ServiceSpec &spec) const;
    /// What decides when requests of the service leave their data centre; null if nothing does.
    DataCentreTraffic *trafficOf(const ServiceId &id) const;
    /// The upstreams that may run the request. Those of suspected data centres are left out unless there are no others.
    UpstreamSelector::Candidates candidates(const Service &service, const PlacementRequest &request, TimePoint now) const;
    /// Records what the end of a grant tells about the upstream that caused it.
    void recordOutcome(UpstreamLoad &load, GrantOutcome outcome, TimePoint now);
    /// Records that \p helper could not help with a request that it was given \p elapsed ago.
    void recordFaultyHelper(UpstreamLoad &helper, Duration elapsed, TimePoint now);
    /// The refusal of a request that appears to crash upstreams; empty if it may be granted.
    std::optional<Refusal> quarantine(const PlacementRequest &request, TimePoint now) const;
    /// Chooses among the upstreams that may run the request, or among those that are reserved for it.
    std::optional<Selection> choose(const Service &service, const PlacementRequest &request, TimePoint now) const;
    /// Grants the request if an upstream is available. quarantine() must have let it pass.
    std::optional<Grant> tryGrant(const PlacementRequest &request, TimePoint now);
    /// The earliest time at which an upstream of the service accepts a request of \p host; unset if there are no upstreams.
    static std::optional<TimePoint> acceptedFrom(const Service &service, const HostId &host);
    std::optional<Refusal> refusal(const Waiting &waiting, TimePoint now) const;
    /// Returns whether the request may be placed in its turn. One that needs a low load, or engines reserved for it, may not right after a change of
    /// owner, when more requests are expected, and without reservations not while requests before it wait.
    static bool mayStart(Service &service, const Waiting &waiting, TimePoint now);
    /// Tells the reservations of the service its upstreams. Without reservations, ends the holds that a former configuration has left.
    static void setReservableUpstreams(Service &service);
    /// Plans the reservations of the services that have them, if that is due.
    void planReservations(TimePoint now);
    /// The time after which a refused request may come again, by the forecast that refused it.
    static Duration retryAfterForecast(const Service &service, const Waiting &waiting, TimePoint now);
    /// Returns whether the request can be answered by its deadline after the work that goes before it.
    static bool canMeetDeadline(const Service &service, const Waiting &waiting, TimePoint now);
    /// Serves the waiting requests unless that was done less than a serveInterval ago; in that case the next tick does it.
    PlacementActions serveAfterRelease(TimePoint now);
    /// Grants or refuses the waiting requests that can be decided now.
    PlacementActions serveWaiting(TimePoint now);
    /// The limit for cold upstreams of \p service; 0 if it has none or is not configured yet.
    double coldRateOf(const ServiceId &service) const;
    std::shared_ptr<const ColdShare> coldShareOf(const ServiceId &service);
    /// Updates what the requests of the last time show about the upstreams of each service.
    void updateFindings(TimePoint now);
    void indexUpstreams();
    void endOverdueGrants(TimePoint now);
    void release(const PlacementRequestId &id, TimePoint now);

    PlacementLimits m_limits;
    PlacementOptions m_options;
    std::map<ServiceId, Service> m_services;
    std::map<UpstreamId, UpstreamLoad> m_upstreams;
    std::map<PlacementRequestId, GrantRecord> m_grants;
    std::vector<Waiting> m_waiting;
    TimePoint m_coldUntil; ///< The latest time until which an upstream is cold.
    std::map<ServiceId, std::shared_ptr<ColdShare>> m_coldShares; ///< Shared with the loads of the upstreams.
    ColdShare m_otherColdShare; ///< Of services without an entry.
    std::optional<TimePoint> m_allColdRatesUsedAt; ///< The last time of assumeAllColdRatesUsed(); empty before its first call.
    TimePoint m_servedAt; ///< When the waiting requests were last served.
    TimePoint m_overdueCheckedAt;
    CrashRecord &m_crashes;
    DataCentreOutages m_outages;
};

}
