#include "Placement/ReservationEvents.h"

namespace Mangofall::Placement {

std::string_view toString(ReservationDropCause cause)
{
    switch (cause) {
    case ReservationDropCause::EngineLeft:
        return "engine_left";
    case ReservationDropCause::EngineUnavailable:
        return "engine_unavailable";
    case ReservationDropCause::Delayed:
        return "delayed";
    case ReservationDropCause::BetterPlan:
        return "better_plan";
    case ReservationDropCause::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

ReservationCounts &ReservationCounts::operator+=(const ReservationCounts &other)
{
    reservations += other.reservations;
    engines += other.engines;
    started += other.started;
    startedEarly += other.startedEarly;
    dropped += other.dropped;
    return *this;
}

}
