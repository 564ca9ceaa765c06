#pragma once

#include "Base/Ids.h"
#include "Config/Settings.h"
#include "Daemon/HostLimits.h"
#include "Daemon/SharedQuarantine.h"
#include "Telemetry/Metrics.h"
#include "Telemetry/SpanRecorder.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class HostContext
 * \brief What all threads of one daemon share: its identity, settings and telemetry.
 */
struct HostContext {
    Settings settings;
    std::uint64_t incarnation = 0; ///< Start time in microseconds, so that a restart has a higher one.
    Metrics metrics;
    SpanRecorder spans;
    HostLimits limits;
    SharedQuarantine quarantine;
};

}
