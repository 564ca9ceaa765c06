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
 * \brief State that all threads of one daemon share: settings, identity, telemetry, limits and the crash quarantine.
 */
struct HostContext {
    Settings settings;
    std::uint64_t incarnation = 0; ///< Start time in microseconds, so that each restart of the host has a higher value.
    Metrics metrics;
    SpanRecorder spans;
    HostLimits limits;
    SharedQuarantine quarantine;
};

}
