// The part of PlacementTable that concerns engines reserved ahead of time.
#include "Placement/PlacementTable.h"
#include "Placement/RetryAfter.h"

#include <algorithm>
#include <iterator>

namespace Mangofall::Placement {

namespace {

// After a change of owner the new owner receives the waiting placement requests within this time.
constexpr std::chrono::milliseconds ownerChangeTime{1000};

}

std::optional<ReservationTable> PlacementTable::makeReservations(const ServiceSpec &spec)
{
    return spec.engine && spec.advanceReservation ? std::optional<ReservationTable>(*spec.engine) : std::nullopt;
}

bool PlacementTable::mayStart(Service &service, const Waiting &waiting, TimePoint now)
{
    if (!waiting.needsLowLoad) {
        return true;
    }
    const bool isTurn = service.reservations ? service.reservations->mayTry(now) : service.workAhead.empty();
    return isTurn && now >= service.grantsPausedUntil + ownerChangeTime;
}

void PlacementTable::setReservableUpstreams(Service &service)
{
    if (service.reservations) {
        service.reservations->setUpstreams(service.upstreams);
        return;
    }
    for (UpstreamLoad *load : service.upstreams) {
        load->setHold(std::nullopt);
    }
}

void PlacementTable::planReservations(TimePoint now)
{
    for (auto &[id, service] : m_services) {
        if (!service.reservations || !service.reservations->isDue(now)) {
            continue;
        }
        ReservationTable::Requests waiting;
        for (const Waiting &candidate : m_waiting) {
            if (candidate.needsLowLoad && candidate.request.service == id) {
                waiting.push_back(&candidate.request);
            }
        }
        service.reservations->plan(waiting, now);
    }
}

// A request with a reservation starts on the reserved engines if all of them are available, and on any others that are available earlier.
std::optional<Selection> PlacementTable::choose(const Service &service, const PlacementRequest &request, TimePoint now) const
{
    const UpstreamSelector::Candidates available = candidates(service, request, now);
    const Reservation *reservation = service.reservations ? service.reservations->find(request.id) : nullptr;
    const auto isAvailable = [&available](const UpstreamLoad *engine) {
        return std::find(available.begin(), available.end(), engine) != available.end();
    };
    if (reservation != nullptr && std::all_of(reservation->engines.begin(), reservation->engines.end(), isAvailable)) {
        const TimePoint limit = reservation->plan.onTime ? request.arrivedAt + request.target : request.deadline;
        if (std::optional<Selection> reserved = service.selector->selectReserved(request, reservation->engines, limit - now, now)) {
            return reserved;
        }
    }
    return service.selector->select(request, available, now);
}

Duration PlacementTable::retryAfterForecast(const Service &service, const Waiting &waiting, TimePoint now)
{
    if (service.reservations) {
        if (const std::optional<TimePoint> start = service.reservations->tooLateStart(waiting.request.id)) {
            return retryAt(*start, now);
        }
    }
    return retryAfter(waiting.request, now);
}

ReservationEvents PlacementTable::takeReservationEvents()
{
    ReservationEvents events;
    for (auto &[id, service] : m_services) {
        if (service.reservations) {
            std::ranges::move(service.reservations->takeEvents(), std::back_inserter(events));
        }
    }
    return events;
}

ReservationCounts PlacementTable::reservationCounts() const
{
    ReservationCounts counts;
    for (const auto &[id, service] : m_services) {
        if (service.reservations) {
            counts += service.reservations->counts();
        }
    }
    return counts;
}

}
