#pragma once

#include "EdgeHost.h"
#include "PlatformStore.h"
#include "Record.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// Whether the case runs with its disruption: the variable TROUBLE, on unless it is 0.
bool troubleWanted();

/// Loopback addresses of this run alone, so that the ports are free on each of them.
std::string loopbackAddress(int index);

/// Where a host stands, and at which address it reaches the store.
struct HostPlan {
    std::string zone;
    Address store;
};

/// One host in each zone, all with the same address of the store.
std::vector<HostPlan> oneHostInEach(const std::vector<std::string> &zones, const Address &store);

/**
 * \class Fleet
 * \brief The hosts of a small deployment, with the part of the platform that starts them, watches their memory and chooses those that callers
 * reach.
 */
class Fleet
{
public:
    /// \p folder is for settings and logs.
    Fleet(const std::vector<HostPlan> &hosts, int memoryMb, const std::string &folder, Record &record);
    ~Fleet();

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts all hosts and waits until they are ready; false if they are not in time.
    bool start();
    /// The address of a host in rotation, chosen at random; of any host if none is.
    Address callerAddress();
    /// Sends a signal to the process of one host.
    void signalHost(std::size_t index, int number);
    /// The addresses of all hosts for callers.
    std::vector<Address> callerAddresses() const;
    /// How often the processes of each host have ended by themselves or for too much memory.
    std::vector<int> ends() const;
    /// The largest memory of any process so far, in bytes.
    std::size_t largestMemory() const;
    std::size_t memoryLimit() const;

private:
    struct Host {
        std::unique_ptr<EdgeHost> edge;
        std::atomic<bool> inRotation = false;
        std::atomic<int> ends = 0;
        int misses = 0;
        Clock::time_point restartAt = Clock::time_point::max();
    };

    void watchProcesses();
    void watchProcess(Host &host);
    void askReadiness();

    std::size_t m_memoryLimit;
    Record &m_record;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::atomic<std::size_t> m_largestMemory = 0;
    std::mutex m_randomMutex;
    std::mt19937 m_random{1};
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

}
