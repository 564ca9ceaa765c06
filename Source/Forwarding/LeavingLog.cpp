#include "Forwarding/LeavingLog.h"

#include "Telemetry/EventLog.h"

#include <cmath>
#include <string>

namespace Mangofall::Forwarding {

namespace {

constexpr double loggedChange = 0.1;
constexpr double percent = 100;

std::string inPercent(double share)
{
    return std::to_string(std::lround(share * percent));
}

}

void LeavingLog::update(const std::vector<Placement::LeavingReport> &reports, EventLog &log)
{
    for (const Placement::LeavingReport &report : reports) {
        double &logged = m_logged[{report.service, report.dataCentre}];
        const bool ended = report.decided == 0 && logged != 0;
        if (!ended && std::abs(report.decided - logged) < loggedChange) {
            continue;
        }
        logged = report.decided;
        log.write("data_centre_share",
                  {{"service", report.service.value()},
                   {"data_centre", report.dataCentre.value()},
                   {"decided_percent", inPercent(report.decided)},
                   {"observed_percent", inPercent(report.observed)}});
    }
}

}
