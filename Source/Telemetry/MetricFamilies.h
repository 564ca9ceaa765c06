#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace Mangofall {

/// Registers a family of counters that differ in their labels.
prometheus::Family<prometheus::Counter> &registerCounterFamily(prometheus::Registry &registry, const char *name, const char *help);

/// Registers a family of gauges that differ in their labels.
prometheus::Family<prometheus::Gauge> &registerGaugeFamily(prometheus::Registry &registry, const char *name, const char *help);

/// Registers a single gauge without labels.
prometheus::Gauge &registerGauge(prometheus::Registry &registry, const char *name, const char *help);

}
