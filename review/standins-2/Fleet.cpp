#include "Fleet.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace Review {

namespace {

constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
constexpr Milliseconds watchInterval{20};
constexpr Milliseconds readinessInterval{1000};
constexpr Milliseconds restartDelay{1000};
constexpr Milliseconds startTime{15000};
constexpr int missesOutOfRotation = 2;
constexpr int addressValues = 250;

}

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string loopbackAddress(int index)
{
    const int process = ::getpid();
    return "127." + std::to_string(1 + process % addressValues) + "." + std::to_string(1 + process / addressValues % addressValues) + "."
        + std::to_string(index + 1);
}

std::vector<HostPlan> oneHostInEach(const std::vector<std::string> &zones, const Address &store)
{
    std::vector<HostPlan> hosts;
    for (const std::string &zone : zones) {
        hosts.push_back({zone, store});
    }
    return hosts;
}

Fleet::Fleet(const std::vector<HostPlan> &hosts, int memoryMb, const std::string &folder, Record &record)
    : m_memoryLimit(static_cast<std::size_t>(memoryMb) * bytesPerMegabyte)
    , m_record(record)
{
    for (const HostPlan &plan : hosts) {
        auto host = std::make_unique<Host>();
        EdgeSetup setup;
        setup.name = "front-" + plan.zone + "-" + std::to_string(m_hosts.size() + 1);
        setup.zone = plan.zone;
        setup.ip = loopbackAddress(static_cast<int>(m_hosts.size()));
        setup.store = plan.store;
        setup.memoryMb = memoryMb;
        setup.folder = folder;
        host->edge = std::make_unique<EdgeHost>(setup);
        m_hosts.push_back(std::move(host));
    }
}

Fleet::~Fleet()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

bool Fleet::start()
{
    for (const auto &host : m_hosts) {
        host->edge->start();
    }
    m_threads.emplace_back([this]() {
        watchProcesses();
    });
    m_threads.emplace_back([this]() {
        askReadiness();
    });
    const Clock::time_point deadline = Clock::now() + startTime;
    const auto allReady = [this]() {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
            return host->inRotation.load();
        });
    };
    while (!allReady() && Clock::now() < deadline) {
        std::this_thread::sleep_for(watchInterval);
    }
    return allReady();
}

Address Fleet::callerAddress()
{
    std::vector<const Host *> candidates;
    for (const auto &host : m_hosts) {
        if (host->inRotation) {
            candidates.push_back(host.get());
        }
    }
    if (candidates.empty()) {
        for (const auto &host : m_hosts) {
            candidates.push_back(host.get());
        }
    }
    const std::scoped_lock lock(m_randomMutex);
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)]->edge->callerAddress();
}

void Fleet::signalHost(std::size_t index, int number)
{
    m_hosts.at(index)->edge->signal(number);
}

std::vector<Address> Fleet::callerAddresses() const
{
    std::vector<Address> addresses;
    for (const auto &host : m_hosts) {
        addresses.push_back(host->edge->callerAddress());
    }
    return addresses;
}

std::vector<int> Fleet::ends() const
{
    std::vector<int> result;
    for (const auto &host : m_hosts) {
        result.push_back(host->ends);
    }
    return result;
}

std::size_t Fleet::largestMemory() const
{
    return m_largestMemory;
}

std::size_t Fleet::memoryLimit() const
{
    return m_memoryLimit;
}

void Fleet::watchProcesses()
{
    while (!m_stopping) {
        for (const auto &host : m_hosts) {
            watchProcess(*host);
        }
        std::this_thread::sleep_for(watchInterval);
    }
}

// The platform kills a process that exceeds its memory, and starts one that has ended again.
void Fleet::watchProcess(Host &host)
{
    const std::size_t memory = host.edge->memoryBytes();
    m_largestMemory = std::max(m_largestMemory.load(), memory);
    if (memory > m_memoryLimit) {
        m_record.write("platform: " + host.edge->name() + " has " + std::to_string(memory / bytesPerMegabyte) + " MB of memory, more than its limit: killed");
        host.edge->signal(SIGKILL);
    }
    if (const std::optional<int> status = host.edge->reap()) {
        m_record.write("platform: the process of " + host.edge->name() + " has ended with wait status " + std::to_string(*status));
        ++host.ends;
        host.restartAt = Clock::now() + restartDelay;
    }
    if (Clock::now() >= host.restartAt) {
        host.restartAt = Clock::time_point::max();
        host.edge->start();
    }
}

void Fleet::askReadiness()
{
    while (!m_stopping) {
        for (const auto &host : m_hosts) {
            const bool ready = host->edge->ready();
            host->misses = ready ? 0 : host->misses + 1;
            host->inRotation = ready || (host->inRotation && host->misses < missesOutOfRotation);
        }
        for (Clock::time_point end = Clock::now() + readinessInterval; Clock::now() < end && !m_stopping;) {
            std::this_thread::sleep_for(watchInterval);
        }
    }
}

}
