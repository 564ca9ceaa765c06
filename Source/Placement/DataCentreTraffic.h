#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/CrossDataCentreOptions.h"
#include "Placement/DataCentreDelays.h"
#include "Placement/DistanceCost.h"
#include "Placement/LeavingShare.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class DataCentreLoad
 * \brief What the upstreams of one data centre can take and have to do for a service.
 */
struct DataCentreLoad {
    std::uint32_t slots = 0; ///< Of the upstreams that accept requests.
    std::uint32_t requests = 0; ///< That these upstreams run.
    std::uint32_t waiting = 0; ///< Requests that arrived in this data centre and wait for a grant.
    Duration backlog{}; ///< Mean prefill backlog of the upstreams.
    bool hasUpstream = false; ///< Whether an upstream accepts requests, though it may have no slot now.
};

/// The share of the requests that leave a data centre.
struct LeavingReport {
    ServiceId service;
    DataCentreId dataCentre;
    double decided = 0; ///< The share that leaving pays off for.
    double observed = 0; ///< The share of the recent grants that went to another data centre.
};

/**
 * \class DataCentreTraffic
 * \brief Decides for one service when requests leave the data centre that they arrived in, by comparing costs and gains.
 *
 * The cost of a request is the price of its bytes and the delay in both directions, in units of its target. A request that is not in the share that shall
 * leave also costs a small preference for its data centre, and a large one while more than the operator's largest share leaves. These are costs among
 * others of the selectors, so that a much better upstream elsewhere is still chosen. Which upstreams may be chosen at all is decided elsewhere.
 */
class DataCentreTraffic final : public DistanceCost
{
public:
    using Loads = std::map<DataCentreId, DataCentreLoad>;

    DataCentreTraffic(const CrossDataCentreOptions &options, DataCentreDelays delays);

    /// Records a grant of \p request to an upstream in \p dataCentre.
    void granted(const PlacementRequest &request, const DataCentreId &dataCentre);
    /// Records a grant of another owner for a request that arrived in \p home.
    void adopted(const DataCentreId &home);
    /// Records the end of a grant for a request that arrived in \p home, \p elapsed after the grant.
    void ended(const DataCentreId &home, Duration elapsed);
    /// Decides the shares anew. \p loads has the data centres with upstreams that accept requests, and those in which requests wait.
    void update(const Loads &loads, TimePoint now);

    double of(const PlacementRequest &request, const UpstreamEntry &upstream) const override;

    /// The shares of the data centres in which requests arrive; zero if nothing was decided recently, for example because another host owns the service now.
    std::vector<LeavingReport> reports(const ServiceId &service, TimePoint now) const;

private:
    /// What is known of the requests that arrive in one data centre; means over recent grants.
    struct Home {
        LeavingShare share;
        double bytes = 0;
        double targetSeconds = 0;
        double observed = 0; ///< Share of the grants in another data centre.
        std::uint64_t grants = 0;
        std::uint32_t running = 0; ///< Grants in use, wherever they run.
        bool hasUpstream = true;
    };

    Home &home(const DataCentreId &dataCentre);
    double crossingCost(double bytes, double targetSeconds, Duration delay) const;
    /// The expected wait, in seconds, in a data centre whose upstreams have to run \p demand requests.
    double waitSeconds(const DataCentreLoad &load, double demand) const;
    /// Updates the share of one data centre that has upstreams.
    void updateShare(Home &home, const DataCentreId &dataCentre, const Loads &loads, TimePoint now) const;

    CrossDataCentreOptions m_options;
    DataCentreDelays m_delays;
    double m_answerSeconds = 0; ///< Mean time from grant to the end of the answer.
    std::map<DataCentreId, Home> m_homes;
    TimePoint m_updatedAt;
};

}
