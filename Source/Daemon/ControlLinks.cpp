#include "Daemon/ControlLinks.h"

#include "Daemon/WireHello.h"

namespace Mangofall {

ControlLinks::ControlLinks(boost::asio::io_context &context, HostContext &host, PeerMessageHandler &handler)
    : m_context(context)
    , m_host(host)
    , m_handler(handler)
    , m_hello(makeHello(host, Wire::Purpose::Control))
{
}

void ControlLinks::send(const HostId &host, const PeerAddress &address, Wire::PeerMessageT &&message)
{
    Entry &entry = m_links[host];
    if (!entry.link || entry.address != address) {
        entry.address = address;
        entry.link = open(address, m_handler);
    }
    entry.link->send(std::move(message));
}

void ControlLinks::replace(const HostId &host)
{
    const auto position = m_links.find(host);
    if (position != m_links.end()) {
        const std::shared_ptr<PeerLink> link = position->second.link;
        m_links.erase(position);
        link->close();
    }
}

std::shared_ptr<PeerLink> ControlLinks::open(const PeerAddress &address, PeerMessageHandler &handler)
{
    const auto countBytes = [this](std::size_t bytes) {
        m_host.metrics.peerSentBytes("control").Increment(static_cast<double>(bytes));
    };
    return std::make_shared<PeerLink>(m_context, address.address, address.port, m_hello, handler, countBytes);
}

HostId ControlLinks::hostOf(const std::shared_ptr<PeerConnection> &connection) const
{
    for (const auto &[host, entry] : m_links) {
        if (entry.link->connection() == connection) {
            return host;
        }
    }
    return {};
}

}
