#pragma once

#include "Soak/FaultPlan.h"
#include "Soak/RunLedger.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakOptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace Mangofall::Soak {

/**
 * \class SoakRun
 * \brief One soak run: a fleet of real processes, callers and the faults of a seed; returns the violations of the guarantees.
 *
 * Faults are injected for a limited time. After all have ended, the fleet must recover and answer nearly all requests.
 */
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);

    /// Runs to the end and returns a description of each violation.
    std::vector<std::string> run();

    /// The injected faults and a summary of the outcomes for callers, one line each.
    const std::vector<std::string> &report() const;

private:
    boost::asio::awaitable<void> runScenario();
    boost::asio::awaitable<void> sleepUntil(TimePoint time);
    void beginFault(const FaultStep &step);
    void endFault(const FaultStep &step);
    void checkRecovery(TimePoint measurementStart);
    void addReportLine(const std::string &line);

    SoakOptions m_options;
    boost::asio::io_context m_io;
    RunLedger m_ledger;
    SoakFleet m_fleet;
    TimePoint m_startedAt;
    std::vector<std::string> m_report;
};

}
