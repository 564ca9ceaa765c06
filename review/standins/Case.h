#pragma once

#include "Fleet.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall::Review {

class Record;
class Runner;

/// Verdict of a case; the values are the exit codes of its script.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/**
 * \class Case
 * \brief A deployment with one disruption: starts the fleet, plays the traffic and judges what was seen.
 */
class Case
{
public:
    Case(boost::asio::io_context &io, const std::vector<std::string> &zones, Record &record);
    virtual ~Case();
    Case(const Case &) = delete;
    Case &operator=(const Case &) = delete;

    boost::asio::awaitable<void> run();
    Verdict verdict() const;

protected:
    /// The configuration that the operator has written before the hosts start.
    virtual std::string configurationText() const = 0;
    /// Plays the traffic and the disruption; the fleet is ready.
    virtual boost::asio::awaitable<void> play() = 0;
    /// Judges what was seen.
    virtual Verdict judge() = 0;

    /// Runs \p caller beside the others.
    void spawn(boost::asio::awaitable<void> caller);

    boost::asio::io_context &m_io;
    Record &m_record;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Runner>> m_runners;

private:
    Verdict m_verdict = Verdict::NotRun;
};

/// Makes the case, runs it to its end and returns the exit code; the record is written into the folder that the command line names.
int runCase(int argc, char **argv, const std::function<std::unique_ptr<Case>(boost::asio::io_context &, Record &)> &make);

}
