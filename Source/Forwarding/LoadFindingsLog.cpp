#include "Forwarding/LoadFindingsLog.h"

#include "Telemetry/EventLog.h"

#include <string>

namespace Mangofall::Forwarding {

void LoadFindingsLog::update(const Placement::LoadFindings &findings, EventLog &log)
{
    const bool found = findings.unknownRequests > 0 || findings.slowUpstreams > 0;
    if (found == m_found) {
        return;
    }
    m_found = found;
    log.write(found ? "unknown_load_found" : "unknown_load_gone",
              {{"requests", std::to_string(findings.unknownRequests)}, {"slow_upstreams", std::to_string(findings.slowUpstreams)}});
}

}
