#pragma once

#include "Placement/ReservationEvents.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace Mangofall::Forwarding {

/**
 * \class ReservationMetrics
 * \brief Gauges and counters of the engines that this host, as an owner, reserves ahead of time.
 */
class ReservationMetrics
{
public:
    /// \p registry must outlive the metrics.
    explicit ReservationMetrics(prometheus::Registry &registry);

    void set(const Placement::ReservationCounts &counts);

private:
    /// Raises the counter \p event to \p total.
    void raise(const std::string &event, std::uint64_t total);

    prometheus::Gauge &m_reservations;
    prometheus::Gauge &m_engines;
    prometheus::Family<prometheus::Counter> &m_events;
};

}
