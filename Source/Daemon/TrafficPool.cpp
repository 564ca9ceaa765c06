#include "Daemon/TrafficPool.h"

#include "Base/Hash.h"
#include "Daemon/TrafficWorker.h"

#include <boost/asio/post.hpp>

namespace Mangofall {

namespace Asio = boost::asio;

TrafficPool::TrafficPool(HostContext &host, ControlGateway &control)
{
    for (std::size_t index = 0; index < host.settings.trafficThreads; ++index) {
        m_workers.push_back(std::make_unique<TrafficWorker>(index, host, *this, control));
    }
}

TrafficPool::~TrafficPool() = default;

std::error_code TrafficPool::start()
{
    for (auto &worker : m_workers) {
        const std::error_code error = worker->listen();
        if (error) {
            return error;
        }
    }
    for (auto &worker : m_workers) {
        worker->start();
    }
    return {};
}

void TrafficPool::stop()
{
    for (auto &worker : m_workers) {
        worker->stop();
    }
}

std::uint16_t TrafficPool::callerPort() const
{
    return m_workers.front()->callerPort();
}

std::size_t TrafficPool::size() const
{
    return m_workers.size();
}

TrafficWorker &TrafficPool::worker(std::size_t index)
{
    return *m_workers[index];
}

TrafficWorker &TrafficPool::pinnedWorker(const UpstreamId &upstream)
{
    return *m_workers[hash64(upstream.value()) % m_workers.size()];
}

void TrafficPool::publish(const std::shared_ptr<const ControlSnapshot> &snapshot)
{
    for (auto &worker : m_workers) {
        Asio::post(worker->context(), [&worker = *worker, snapshot] {
            worker.setSnapshot(snapshot);
        });
    }
}

void TrafficPool::updateLoads(const std::vector<LoadSummary> &loads)
{
    for (auto &worker : m_workers) {
        Asio::post(worker->context(), [&worker = *worker, loads] {
            for (const LoadSummary &load : loads) {
                worker.router().updateLoad(load);
            }
        });
    }
}

void TrafficPool::adopt(Asio::ip::tcp::socket socket, const HostId &peer)
{
    TrafficWorker &worker = *m_workers[m_nextWorker++ % m_workers.size()];
    const auto protocol = socket.local_endpoint().protocol();
    // Rebinds the socket to the io_context of the thread that will serve it.
    const auto handle = socket.release();
    Asio::post(worker.context(), [&worker, handle, protocol, peer] {
        worker.adopt(Asio::ip::tcp::socket(worker.context(), protocol, handle), peer);
    });
}

void TrafficPool::stopAccepting()
{
    for (auto &worker : m_workers) {
        Asio::post(worker->context(), [&worker = *worker] {
            worker.stopAccepting();
        });
    }
}

}
