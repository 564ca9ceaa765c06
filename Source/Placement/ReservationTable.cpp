#include "Placement/ReservationTable.h"

#include "Placement/EngineCost.h"
#include "Placement/EngineRules.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Forecasts reckon with the longest answers, so engines may be free after this share of the predicted time.
constexpr double leastWaitShare = 0.5;

// Returns whether the first event misses the deadline even if the engines are free as early as can be expected.
bool isTooLate(const ReservationPlan &alone, const PlacementRequest &request, TimePoint now)
{
    const Duration leastWait = toDuration(Seconds(alone.start - now) * leastWaitShare);
    return now + leastWait + (alone.firstEvent - alone.start) > request.deadline;
}

// Requests are planned in the order of their arrival, so that none waits behind later ones for ever.
bool arrivedBefore(const PlacementRequest *left, const PlacementRequest *right)
{
    return left->arrivedAt != right->arrivedAt ? left->arrivedAt < right->arrivedAt : left->id < right->id;
}

}

ReservationTable::ReservationTable(const EngineSpec &spec, const ReservationLimits &limits)
    : m_spec(spec)
    , m_limits(limits)
    , m_planner(spec)
{
}

void ReservationTable::setUpstreams(const Upstreams &upstreams)
{
    m_upstreams = upstreams;
    std::vector<PlacementRequestId> gone;
    for (auto &[id, reservation] : m_reservations) {
        for (std::size_t index = 0; index < reservation.engines.size(); ++index) {
            const auto listed = std::find_if(upstreams.begin(), upstreams.end(), [&, &reserved = reservation](const UpstreamLoad *load) {
                return load->entry().id == reserved.engineIds[index] && load->entry().startedAt == reserved.engineStarts[index];
            });
            if (listed == upstreams.end()) {
                gone.push_back(id);
                break;
            }
            reservation.engines[index] = *listed;
        }
    }
    for (const PlacementRequestId &id : gone) {
        drop(id, ReservationDropCause::EngineLeft);
    }
    updateHolds();
}

bool ReservationTable::isDue(TimePoint now) const
{
    return !m_plannedAt || now >= *m_plannedAt + m_limits.planInterval;
}

bool ReservationTable::mayTry(TimePoint now)
{
    return m_plannedAt == now && m_tries++ < m_limits.triesPerPlan;
}

void ReservationTable::plan(const Requests &waiting, TimePoint now)
{
    m_plannedAt = now;
    m_tries = 0;
    std::erase_if(m_started, [now](const auto &started) {
        return started.first <= now;
    });
    if (waiting.empty() && m_reservations.empty()) {
        m_deadlineChecks.clear();
        return;
    }
    dropWithdrawn(waiting);
    Forecasts forecasts = makeForecasts(now);
    planAll(checkDeadlines(waiting, forecasts, now), forecasts, now);
    updateHolds();
}

// The check leaves out reservations of others and the bounds on reservations, so that a refusal for it is true.
ReservationTable::Requests ReservationTable::checkDeadlines(const Requests &waiting, const Forecasts &forecasts, TimePoint now)
{
    Requests inTime;
    std::size_t checks = 0;
    for (const PlacementRequest *request : waiting) {
        DeadlineCheck &check = m_deadlineChecks[request->id];
        const bool isDue = !check.checkedAt || now >= *check.checkedAt + m_limits.forecastInterval;
        if (isDue && checks++ < m_limits.checksPerPlan) {
            const std::optional<ReservationPlan> alone = m_planner.plan(*request, forecasts, {forecasts.size(), true});
            check.checkedAt = now;
            check.tooLateStart = alone && isTooLate(*alone, *request, now) ? std::optional(alone->start) : std::nullopt;
        }
        if (!check.tooLateStart) {
            inTime.push_back(request);
        }
    }
    return inTime;
}

void ReservationTable::planAll(const Requests &requests, Forecasts &forecasts, TimePoint now)
{
    Requests ordered = requests;
    std::sort(ordered.begin(), ordered.end(), arrivedBefore);
    for (const bool late : {false, true}) {
        Requests unreserved;
        for (const PlacementRequest *request : ordered) {
            if (isLate(*request, now) == late && !refresh(*request, forecasts, late, now)) {
                unreserved.push_back(request);
            }
        }
        unreserved.resize(std::min(unreserved.size(), m_limits.newPlansPerPlan));
        for (const PlacementRequest *request : unreserved) {
            reserve(*request, forecasts, late, now);
        }
    }
}

bool ReservationTable::refresh(const PlacementRequest &request, Forecasts &forecasts, bool late, TimePoint now)
{
    const auto known = m_reservations.find(request.id);
    if (known == m_reservations.end()) {
        return false;
    }
    Reservation &reservation = known->second;
    const std::optional<std::vector<std::size_t>> places = placesOf(request, reservation, forecasts);
    if (!places) {
        drop(request.id, ReservationDropCause::EngineUnavailable);
        return false;
    }
    std::optional<ReservationPlan> present = m_planner.planWith(request, forecasts, *places);
    const bool losesTarget = present && !late && !present->onTime;
    if (!present || losesTarget || present->start > reservation.plannedStart + m_limits.slipTolerance) {
        drop(request.id, ReservationDropCause::Delayed);
        return false;
    }
    const std::optional<ReservationPlan> fresh = planFor(request, forecasts, late);
    if (fresh && fresh->start + m_limits.leastGain <= present->start) {
        drop(request.id, ReservationDropCause::BetterPlan);
        return false;
    }
    present->start = std::max(present->start, now);
    reservation.plan = *present;
    m_planner.add(request, *present, forecasts);
    return true;
}

std::optional<std::vector<std::size_t>> ReservationTable::placesOf(const PlacementRequest &request, const Reservation &reservation, const Forecasts &forecasts)
{
    std::vector<std::size_t> places;
    for (const UpstreamLoad *engine : reservation.engines) {
        const auto forecast = std::find_if(forecasts.begin(), forecasts.end(), [engine](const EngineForecast &candidate) {
            return &candidate.load() == engine;
        });
        if (forecast == forecasts.end() || !forecast->accepts(request)) {
            return std::nullopt;
        }
        places.push_back(static_cast<std::size_t>(forecast - forecasts.begin()));
    }
    return places;
}

void ReservationTable::reserve(const PlacementRequest &request, Forecasts &forecasts, bool late, TimePoint now)
{
    std::optional<ReservationPlan> plan = planFor(request, forecasts, late);
    if (!plan) {
        return;
    }
    const bool isUseful = late ? plan->answerEnd <= request.deadline : plan->onTime && plan->start <= now + m_limits.longestLead;
    if (isUseful) {
        store(request, std::move(*plan), forecasts, now);
    }
}

std::optional<ReservationPlan> ReservationTable::planFor(const PlacementRequest &request, const Forecasts &forecasts, bool late) const
{
    const double share = late ? m_limits.lateShare : m_limits.engineShare;
    const auto bound = static_cast<std::size_t>(share * static_cast<double>(m_upstreams.size()));
    const Reservation *own = find(request.id);
    const std::size_t occupied = occupiedEngines() - (own == nullptr ? 0 : own->engines.size());
    if (occupied >= bound) {
        return std::nullopt;
    }
    return m_planner.plan(request, forecasts, {bound - occupied, late});
}

void ReservationTable::store(const PlacementRequest &request, ReservationPlan plan, Forecasts &forecasts, TimePoint now)
{
    Reservation reservation;
    for (const PlannedEngine &engine : plan.engines) {
        UpstreamLoad &load = forecasts[engine.index].load();
        reservation.engines.push_back(&load);
        reservation.engineIds.push_back(load.entry().id);
        reservation.engineStarts.push_back(load.entry().startedAt);
    }
    m_planner.add(request, plan, forecasts);
    m_events.emplace_back(ReservationMade{request.id, reservation.engineIds, plan.start - now});
    reservation.plannedStart = plan.start;
    reservation.plan = std::move(plan);
    m_reservations[request.id] = std::move(reservation);
}

const Reservation *ReservationTable::find(const PlacementRequestId &id) const
{
    const auto position = m_reservations.find(id);
    return position == m_reservations.end() ? nullptr : &position->second;
}

void ReservationTable::started(const PlacementRequestId &id, TimePoint now)
{
    const auto position = m_reservations.find(id);
    if (position == m_reservations.end()) {
        return;
    }
    const Reservation &reservation = position->second;
    ++m_totals.started;
    m_totals.startedEarly += now < reservation.plannedStart ? 1 : 0;
    m_started.emplace_back(now + reservation.plan.partPrefill, reservation.engines.size());
    m_reservations.erase(position);
    updateHolds();
}

std::optional<TimePoint> ReservationTable::tooLateStart(const PlacementRequestId &id) const
{
    const auto position = m_deadlineChecks.find(id);
    return position == m_deadlineChecks.end() ? std::nullopt : position->second.tooLateStart;
}

ReservationEvents ReservationTable::takeEvents()
{
    return std::exchange(m_events, {});
}

ReservationCounts ReservationTable::counts() const
{
    ReservationCounts counts = m_totals;
    counts.reservations = m_reservations.size();
    counts.engines = reservedEngines();
    return counts;
}

ReservationTable::Forecasts ReservationTable::makeForecasts(TimePoint now) const
{
    Forecasts forecasts;
    forecasts.reserve(m_upstreams.size());
    for (UpstreamLoad *load : m_upstreams) {
        if (now >= load->entry().coldUntil && !load->failures().avoided(now)) {
            forecasts.emplace_back(m_spec, *load, now);
        }
    }
    return forecasts;
}

void ReservationTable::drop(const PlacementRequestId &id, ReservationDropCause cause)
{
    if (m_reservations.erase(id) > 0) {
        ++m_totals.dropped;
        m_events.emplace_back(ReservationDropped{id, cause});
    }
}

void ReservationTable::dropWithdrawn(const Requests &waiting)
{
    std::set<PlacementRequestId> present;
    for (const PlacementRequest *request : waiting) {
        present.insert(request->id);
    }
    std::erase_if(m_deadlineChecks, [&](const auto &check) {
        return !present.contains(check.first);
    });
    std::vector<PlacementRequestId> gone;
    for (const auto &[id, reservation] : m_reservations) {
        if (!present.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const PlacementRequestId &id : gone) {
        drop(id, ReservationDropCause::Withdrawn);
    }
}

void ReservationTable::updateHolds()
{
    for (UpstreamLoad *load : m_upstreams) {
        load->setHold(std::nullopt);
    }
    for (const auto &[id, reservation] : m_reservations) {
        for (std::size_t index = 0; index < reservation.engines.size(); ++index) {
            UpstreamLoad &load = *reservation.engines[index];
            if (!load.hold() || reservation.plan.start < load.hold()->start) {
                load.setHold(EngineHold{id, reservation.plan.start, reservation.plan.partPrefill, reservation.plan.engines[index].memoryTokens});
            }
        }
    }
}

bool ReservationTable::isLate(const PlacementRequest &request, TimePoint now) const
{
    const Duration least = prefillTime(m_spec, request.promptTokens, maxUsefulParts(m_spec, request.promptTokens)) + engineNetworkTime
        + iterationTime(m_spec, 1, request.promptTokens);
    return now > request.arrivedAt + request.target - least;
}

std::size_t ReservationTable::reservedEngines() const
{
    std::set<const UpstreamLoad *> engines;
    for (const auto &[id, reservation] : m_reservations) {
        engines.insert(reservation.engines.begin(), reservation.engines.end());
    }
    return engines.size();
}

std::size_t ReservationTable::occupiedEngines() const
{
    std::size_t occupied = 0;
    for (const auto &[id, reservation] : m_reservations) {
        occupied += reservation.engines.size();
    }
    for (const auto &[prefillEnd, engines] : m_started) {
        occupied += engines;
    }
    return occupied;
}

}
