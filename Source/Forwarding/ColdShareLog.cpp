#include "Forwarding/ColdShareLog.h"

#include "Telemetry/EventLog.h"

#include <cmath>
#include <string>

namespace Mangofall::Forwarding {

namespace {

constexpr std::chrono::seconds lineInterval{1};
constexpr double percent = 100;

}

void ColdShareLog::update(const std::map<ServiceId, Placement::ColdShare> &shares, TimePoint now, EventLog &log)
{
    std::erase_if(m_logged, [&](const auto &line) {
        return line.second.fraction == 1 && !shares.contains(line.first);
    });
    for (const auto &[service, share] : shares) {
        Line &line = m_logged[service];
        if (share.fraction != line.fraction && now >= line.at + lineInterval) {
            line = {share.fraction, now};
            log.write("cold_share", {{"service", service.value()}, {"percent", std::to_string(std::lround(share.fraction * percent))}});
        }
    }
}

}
