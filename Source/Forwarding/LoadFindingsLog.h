#pragma once

#include "Placement/LoadFindings.h"

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Forwarding {

/**
 * \class LoadFindingsLog
 * \brief Writes to the log when the answers of upstreams begin and cease to show load that this host, as owner, does not know.
 */
class LoadFindingsLog
{
public:
    void update(const Placement::LoadFindings &findings, EventLog &log);

private:
    bool m_found = false;
};

}
