#pragma once

#include "Placement/ReservationEvents.h"
#include "Placement/ReservationPlanner.h"
#include "Placement/UpstreamSelector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class ReservationLimits
 * \brief Limits and intervals of advance reservation.
 *
 * The figures come from mangofall-experiment, scenario long-phases. Reserved engines that wait for the last of them are lost to other prompts, so more
 * reservations are not better: with three tenths of the engines, 1.8 instead of 1.2 in 100 short prompts were late (20 seeds), and with a tenth of the
 * engines for late prompts 0.125 instead of 0.103 of the prompts beyond one engine were not answered (16 seeds).
 */
struct ReservationLimits {
    double engineShare = 0.2; ///< Share of the engines that all reservations together occupy at most, until the prefill on them ends.
    double lateShare = 0.07; ///< The same for a reservation of a prompt that is too late for its target.
    Duration longestLead = std::chrono::milliseconds(200); ///< A prompt that can be on time gets a reservation that starts within this.
    Duration planInterval = std::chrono::milliseconds(20); ///< Least time between two plans.
    Duration forecastInterval = std::chrono::milliseconds(200); ///< Time between two checks whether a prompt can be answered by its deadline.
    std::size_t checksPerPlan = 4; ///< Such checks in one plan. The bounds on checks, plans and tries bound the processor time with many waiting prompts.
    std::size_t newPlansPerPlan = 8; ///< Requests without reservation that one plan tries to reserve for, among those on time and among the late ones.
    std::size_t triesPerPlan = 24; ///< Requests that are tried to start after one plan.
    Duration slipTolerance = std::chrono::milliseconds(300); ///< A reservation whose start is put off by more than this is planned again.
    Duration leastGain = std::chrono::milliseconds(150); ///< A reservation is moved to engines that start it earlier by at least this.
};

/// Engines that are reserved for one request.
struct Reservation {
    std::vector<UpstreamLoad *> engines; ///< The first one answers.
    std::vector<UpstreamId> engineIds;
    std::vector<std::uint64_t> engineStarts; ///< The processes of the engines, which a restart changes.
    ReservationPlan plan;
    TimePoint plannedStart; ///< The start planned first.
};

/**
 * \class ReservationTable
 * \brief The engines of one service that are reserved for prompts which exceed the KV memory of one engine.
 *
 * Load: phases of long prompts, in which the engines are never all idle, so that a prompt which needs several of them at once would wait until its
 * deadline. All reservations are planned by one host in one order, each one completely or not at all, so that two prompts cannot wait for each other.
 * Each reserved engine gets an EngineHold, which keeps away work that would delay the start.
 */
class ReservationTable
{
public:
    using Upstreams = UpstreamSelector::Candidates;
    using Requests = std::vector<const PlacementRequest *>;

    explicit ReservationTable(const EngineSpec &spec, const ReservationLimits &limits = {});

    /// Sets the engines that accept requests and gives up reservations of others. The pointers must stay valid until the next call.
    void setUpstreams(const Upstreams &upstreams);

    /// Returns whether the next plan is due at \p now.
    bool isDue(TimePoint now) const;
    /// Returns whether one more request may be tried to start at \p now. That is so a limited number of times after each plan.
    bool mayTry(TimePoint now);
    /// Plans for the requests in \p waiting and gives up the reservations of others.
    void plan(const Requests &waiting, TimePoint now);

    /// The reservation of the request; null if it has none.
    const Reservation *find(const PlacementRequestId &id) const;
    /// The request starts; ends its reservation if it has one.
    void started(const PlacementRequestId &id, TimePoint now);
    /// When the engines would be free for a request that no plan, not even alone, brings to its first event by its deadline; unset for others.
    std::optional<TimePoint> tooLateStart(const PlacementRequestId &id) const;

    /// Returns and clears the events since the last call.
    ReservationEvents takeEvents();
    ReservationCounts counts() const;

private:
    using Forecasts = ReservationPlanner::Forecasts;

    /// The last check whether a request can be answered by its deadline.
    struct DeadlineCheck {
        std::optional<TimePoint> checkedAt;
        std::optional<TimePoint> tooLateStart;
    };

    /// Forecasts of the engines that may be reserved.
    Forecasts makeForecasts(TimePoint now) const;
    /// Returns the requests that can be answered by their deadlines if they get the engines they need.
    Requests checkDeadlines(const Requests &waiting, const Forecasts &forecasts, TimePoint now);
    /// Plans again what is reserved, then what is not, so that plans stay the same as far as possible. Late requests come last.
    void planAll(const Requests &requests, Forecasts &forecasts, TimePoint now);
    /// Keeps or gives up the reservation of a request. Returns whether it still has one.
    bool refresh(const PlacementRequest &request, Forecasts &forecasts, bool late, TimePoint now);
    /// The places of the reserved engines among the forecasts; nothing if one of them may not be reserved for the request any more.
    static std::optional<std::vector<std::size_t>> placesOf(const PlacementRequest &request, const Reservation &reservation, const Forecasts &forecasts);
    void reserve(const PlacementRequest &request, Forecasts &forecasts, bool late, TimePoint now);
    std::optional<ReservationPlan> planFor(const PlacementRequest &request, const Forecasts &forecasts, bool late) const;
    void store(const PlacementRequest &request, ReservationPlan plan, Forecasts &forecasts, TimePoint now);
    void drop(const PlacementRequestId &id, ReservationDropCause cause);
    void dropWithdrawn(const Requests &waiting);
    /// Tells each engine its next reservation.
    void updateHolds();
    /// Returns whether the request can no longer be on time, whichever engines it gets.
    bool isLate(const PlacementRequest &request, TimePoint now) const;
    std::size_t reservedEngines() const;
    /// Engines that reservations occupy: those reserved and those whose prefill on a reservation has not ended.
    std::size_t occupiedEngines() const;

    EngineSpec m_spec;
    ReservationLimits m_limits;
    ReservationPlanner m_planner;
    Upstreams m_upstreams;
    std::map<PlacementRequestId, Reservation> m_reservations;
    std::map<PlacementRequestId, DeadlineCheck> m_deadlineChecks;
    std::vector<std::pair<TimePoint, std::size_t>> m_started; ///< End of the prefill and number of engines of started reservations.
    std::optional<TimePoint> m_plannedAt;
    std::size_t m_tries = 0; ///< Since the last plan.
    ReservationEvents m_events;
    ReservationCounts m_totals;
};

}
