#include "Forwarding/PeerConnections.h"

#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerMessageHandler.h"
#include "Peer/TcpListener.h"

namespace Mangofall::Forwarding {

PeerConnections::PeerConnections(boost::asio::io_context &io, const HostId &self, const DataCentreId &dataCentre, PeerMessageHandler &handler)
    : m_io(io)
    , m_handler(handler)
{
    auto hello = std::make_shared<Wire::HelloT>();
    hello->host = self.value();
    hello->data_centre = dataCentre.value();
    m_hello = std::move(hello);
}

PeerConnections::~PeerConnections()
{
    for (const auto &[host, link] : m_links) {
        link->closeSilently();
    }
    for (const auto &[connection, host] : m_accepted) {
        connection->closeSilently();
    }
}

std::error_code PeerConnections::listen(const NetworkAddress &address)
{
    m_listener = std::make_unique<TcpListener>(m_io, [this](boost::asio::ip::tcp::socket socket) {
        auto connection = std::make_shared<PeerConnection>(std::move(socket), [](std::size_t) {});
        m_accepted[connection] = HostId();
        connection->start(m_handler);
    });
    return m_listener->listen(address.address, address.port, false);
}

bool PeerConnections::hasLink(const HostId &host) const
{
    return m_links.contains(host);
}

PeerLink &PeerConnections::link(const HostId &host, const NetworkAddress &address)
{
    std::shared_ptr<PeerLink> &link = m_links[host];
    if (!link) {
        link = std::make_shared<PeerLink>(m_io, address.address, address.port, m_hello, m_handler, [](std::size_t) {});
    }
    return *link;
}

std::shared_ptr<PeerLink> PeerConnections::removeLink(const HostId &host)
{
    const auto entry = m_links.extract(host);
    return entry.empty() ? nullptr : entry.mapped();
}

void PeerConnections::closeLinks()
{
    const auto links = std::exchange(m_links, {});
    for (const auto &[host, link] : links) {
        link->closeSilently();
    }
}

HostId PeerConnections::linkedHost(const std::shared_ptr<PeerConnection> &connection) const
{
    for (const auto &[host, link] : m_links) {
        if (link->connection() == connection) {
            return host;
        }
    }
    return {};
}

void PeerConnections::helloReceived(const std::shared_ptr<PeerConnection> &connection, const HostId &host)
{
    m_accepted[connection] = host;
    m_answerConnections[host] = {connection, std::chrono::steady_clock::now()};
}

HostId PeerConnections::acceptedHost(const std::shared_ptr<PeerConnection> &connection) const
{
    const auto accepted = m_accepted.find(connection);
    return accepted == m_accepted.end() ? HostId() : accepted->second;
}

std::optional<HostId> PeerConnections::removeAccepted(const std::shared_ptr<PeerConnection> &connection)
{
    const auto accepted = m_accepted.find(connection);
    if (accepted == m_accepted.end()) {
        return std::nullopt;
    }
    const HostId host = accepted->second;
    m_accepted.erase(accepted);
    const auto answers = m_answerConnections.find(host);
    if (answers == m_answerConnections.end() || answers->second.connection != connection) {
        return HostId();
    }
    m_answerConnections.erase(answers);
    return host;
}

std::optional<TimePoint> PeerConnections::answersSince(const HostId &host, const std::shared_ptr<PeerConnection> &connection) const
{
    const auto known = m_answerConnections.find(host);
    const bool used = known != m_answerConnections.end() && known->second.connection == connection;
    return used ? std::optional(known->second.since) : std::nullopt;
}

std::shared_ptr<PeerConnection> PeerConnections::answerConnection(const HostId &host) const
{
    const auto connection = m_answerConnections.find(host);
    return connection == m_answerConnections.end() ? nullptr : connection->second.connection;
}

void PeerConnections::sendToLinked(const Wire::PeerMessageT &message)
{
    for (const auto &[host, link] : m_links) {
        link->send(Wire::PeerMessageT(message));
    }
}

void PeerConnections::sendToAll(const Wire::PeerMessageT &message)
{
    sendToLinked(message);
    for (const auto &[host, answers] : m_answerConnections) {
        if (!m_links.contains(host)) {
            answers.connection->send(message);
        }
    }
}

}
