#pragma once

#include "Daemon/ControlGateway.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/HostContext.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <system_error>
#include <vector>

namespace Mangofall {

class TrafficWorker;

/**
 * \class TrafficPool
 * \brief The traffic threads of one daemon. Its functions may be called on any thread.
 */
class TrafficPool
{
public:
    TrafficPool(HostContext &host, ControlGateway &control);
    ~TrafficPool();

    /// Binds the callers' listeners of all threads, then starts the threads.
    std::error_code start();
    void stop();
    std::uint16_t callerPort() const;

    std::size_t size() const;
    TrafficWorker &worker(std::size_t index);
    /// Returns the thread to which the dispatcher of \p upstream is pinned.
    TrafficWorker &pinnedWorker(const UpstreamId &upstream);

    /// Passes \p snapshot to every thread.
    void publish(const std::shared_ptr<const ControlSnapshot> &snapshot);
    /// Passes \p loads, reported by dispatchers of this or other hosts, to the router of every thread.
    void updateLoads(const std::vector<LoadSummary> &loads);
    /// Assigns an accepted traffic connection to the threads in turn.
    void adopt(boost::asio::ip::tcp::socket socket, const HostId &peer);
    /// Closes the callers' listeners of all threads; sessions in progress finish.
    void stopAccepting();

private:
    std::vector<std::unique_ptr<TrafficWorker>> m_workers;
    std::size_t m_nextWorker = 0;
};

}
