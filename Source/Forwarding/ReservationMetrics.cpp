#include "Forwarding/ReservationMetrics.h"

#include "Telemetry/MetricFamilies.h"

namespace Mangofall::Forwarding {

ReservationMetrics::ReservationMetrics(prometheus::Registry &registry)
    : m_reservations(registerGauge(registry, "mangofall_reservations", "Prompts for which this host, as owner, has reserved engines."))
    , m_engines(registerGauge(registry, "mangofall_reserved_engines", "Engines that this host, as owner, has reserved."))
    , m_events(registerCounterFamily(
          registry, "mangofall_reservation_events_total", "Reservations by event: started, started_early (before the planned time as well), dropped."))
{
}

void ReservationMetrics::set(const Placement::ReservationCounts &counts)
{
    m_reservations.Set(static_cast<double>(counts.reservations));
    m_engines.Set(static_cast<double>(counts.engines));
    raise("started", counts.started);
    raise("started_early", counts.startedEarly);
    raise("dropped", counts.dropped);
}

void ReservationMetrics::raise(const std::string &event, std::uint64_t total)
{
    prometheus::Counter &counter = m_events.Add({{"event", event}});
    const double added = static_cast<double>(total) - counter.Value();
    if (added > 0) {
        counter.Increment(added);
    }
}

}
