#pragma once

#include "Placement/PlacementActions.h"
#include "Placement/ReservationEvents.h"

namespace Mangofall {
class EventLog;
}

/// Log lines of an owner about placement requests.
namespace Mangofall::Forwarding {

/// Writes that the placement request of another host was refused.
void writeRefusal(EventLog &log, const Placement::Refusal &refusal);

/// Writes which engines were reserved and which reservations were given up.
void writeReservationEvents(EventLog &log, const Placement::ReservationEvents &events);

}
