#include "Forwarding/PlacementLog.h"

#include "Base/ErrorAnswer.h"
#include "Telemetry/EventLog.h"

#include <chrono>
#include <string>

namespace Mangofall::Forwarding {

namespace {

std::string joinedIds(const std::vector<UpstreamId> &ids)
{
    std::string result;
    for (const UpstreamId &id : ids) {
        result += (result.empty() ? "" : ",") + id.value();
    }
    return result;
}

void writeEvent(EventLog &log, const Placement::ReservationMade &made)
{
    const auto untilStart = std::chrono::duration_cast<std::chrono::milliseconds>(made.untilStart);
    log.write("placement_reserved",
              {{"entry", made.id.host.value()},
               {"demand", std::to_string(made.id.number)},
               {"engines", joinedIds(made.engines)},
               {"start_ms", std::to_string(untilStart.count())}});
}

void writeEvent(EventLog &log, const Placement::ReservationDropped &dropped)
{
    log.write("placement_reservation_dropped",
              {{"entry", dropped.id.host.value()}, {"demand", std::to_string(dropped.id.number)}, {"cause", std::string(toString(dropped.cause))}});
}

}

void writeRefusal(EventLog &log, const Placement::Refusal &refusal)
{
    const std::string kind(errorAnswer(refusal.kind).name);
    log.write("placement_refused", {{"entry", refusal.id.host.value()}, {"demand", std::to_string(refusal.id.number)}, {"kind", kind}});
}

void writeReservationEvents(EventLog &log, const Placement::ReservationEvents &events)
{
    for (const Placement::ReservationEvent &event : events) {
        std::visit(
            [&log](const auto &concrete) {
                writeEvent(log, concrete);
            },
            event);
    }
}

}
