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
 * \brief One soak: a fleet of real processes, callers and the faults of a seed; tells which promises were broken.
 *
 * Faults come for a while, then all of them are taken back, and the fleet must serve again.
 */
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);

    /// Plays the soak; the promises that were broken.
    std::vector<std::string> run();

    /// What was done and what callers got, a line each.
    const std::vector<std::string> &report() const;

private:
    boost::asio::awaitable<void> play();
    boost::asio::awaitable<void> sleepUntil(TimePoint time);
    void begin(const FaultStep &step);
    void end(const FaultStep &step);
    void checkRecovery(TimePoint calmSince);
    void note(const std::string &line);

    SoakOptions m_options;
    boost::asio::io_context m_io;
    RunLedger m_ledger;
    SoakFleet m_fleet;
    TimePoint m_startedAt;
    std::vector<std::string> m_report;
};

}
