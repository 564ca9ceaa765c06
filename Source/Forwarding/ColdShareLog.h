#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/ColdShare.h"

#include <map>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Forwarding {

/**
 * \class ColdShareLog
 * \brief Writes to the log when the part of the rate of cold upstreams that this host may use has changed, at most once per second and service.
 */
class ColdShareLog
{
public:
    void update(const std::map<ServiceId, Placement::ColdShare> &shares, TimePoint now, EventLog &log);

private:
    struct Line {
        double fraction = 1;
        TimePoint at;
    };

    std::map<ServiceId, Line> m_logged;
};

}
