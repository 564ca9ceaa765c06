#include "Case.h"

#include "Record.h"
#include "Runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <iostream>
#include <utility>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds readyLimit{15000};

}

Case::Case(Asio::io_context &io, const std::vector<std::string> &zones, Record &record)
    : m_io(io)
    , m_record(record)
    , m_fleet(io, zones, record)
{
}

Case::~Case() = default;

Asio::awaitable<void> Case::run()
{
    m_fleet.store().put("op/config", configurationText());
    for (const std::unique_ptr<Runner> &runner : m_runners) {
        runner->publish("ready");
    }
    m_fleet.start();
    const bool ready = co_await m_fleet.awaitReady(readyLimit);
    if (ready) {
        co_await play();
        m_verdict = judge();
    }
    m_io.stop();
}

Verdict Case::verdict() const
{
    return m_verdict;
}

void Case::spawn(Asio::awaitable<void> caller)
{
    Asio::co_spawn(m_io, std::move(caller), Asio::detached);
}

int runCase(int argc, char **argv, const std::function<std::unique_ptr<Case>(Asio::io_context &, Record &)> &make)
{
    try {
        Record record(caseFolder(argc, argv) + "/record.txt");
        Asio::io_context io(1);
        const std::unique_ptr<Case> played = make(io, record);
        Asio::co_spawn(io, played->run(), Asio::detached);
        io.run();
        const int exitCode = static_cast<int>(played->verdict());
        record.write("exit " + std::to_string(exitCode));
        return exitCode;
    } catch (const std::exception &error) {
        std::cerr << "case: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}

}
