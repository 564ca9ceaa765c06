#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <utility>

namespace Mangofall {
class PeerConnection;
class PeerLink;
class PeerMessageHandler;
class TcpListener;
}

namespace Mangofall::Forwarding {

/// A message that holds \p body.
template<class Body>
Wire::PeerMessageT toPeerMessage(Body body)
{
    Wire::PeerMessageT message;
    message.body.Set(std::move(body));
    return message;
}

/**
 * \class PeerConnections
 * \brief The connections between this host and its peers: links that it opened, and connections that peers opened.
 */
class PeerConnections
{
public:
    /// \p handler must outlive this object. Peers are greeted with the ids of this host and its data centre.
    PeerConnections(boost::asio::io_context &io, const HostId &self, const DataCentreId &dataCentre, PeerMessageHandler &handler);
    ~PeerConnections();
    PeerConnections(const PeerConnections &) = delete;
    PeerConnections &operator=(const PeerConnections &) = delete;

    std::error_code listen(const NetworkAddress &address);

    bool hasLink(const HostId &host) const;
    /// The link to \p host, which is made on first use.
    PeerLink &link(const HostId &host, const NetworkAddress &address);
    /// Removes the link to \p host and returns it, null if there is none. The caller closes it after the removal, because closing may call back.
    std::shared_ptr<PeerLink> removeLink(const HostId &host);
    /// Removes and closes all links.
    void closeLinks();
    /// The host of the link with this connection; empty if the connection is not that of a link.
    HostId linkedHost(const std::shared_ptr<PeerConnection> &connection) const;

    /// A peer has said on a connection that it opened who it is. Answers to it are sent there.
    void helloReceived(const std::shared_ptr<PeerConnection> &connection, const HostId &host);
    /// The host that opened the connection; empty if it has not said who it is.
    HostId acceptedHost(const std::shared_ptr<PeerConnection> &connection) const;
    /// Removes a connection that a peer opened. Returns the host if answers to it were sent there, an empty id if not, and nothing if no peer opened it.
    std::optional<HostId> removeAccepted(const std::shared_ptr<PeerConnection> &connection);
    /// Since when answers to \p host are sent on \p connection; unset if they are sent on another one.
    std::optional<TimePoint> answersSince(const HostId &host, const std::shared_ptr<PeerConnection> &connection) const;
    /// The connection on which answers are sent to \p host; null if there is none.
    std::shared_ptr<PeerConnection> answerConnection(const HostId &host) const;

    /// Sends the message on all links.
    void sendToLinked(const Wire::PeerMessageT &message);
    /// Sends the message to all connected hosts, whoever opened the connection.
    void sendToAll(const Wire::PeerMessageT &message);

private:
    boost::asio::io_context &m_io;
    PeerMessageHandler &m_handler;
    std::shared_ptr<const Wire::HelloT> m_hello;
    std::map<HostId, std::shared_ptr<PeerLink>> m_links;
    /// Connections opened by peers, with the host named in the hello; empty before it.
    std::map<std::shared_ptr<PeerConnection>, HostId> m_accepted;
    struct AnswerConnection {
        std::shared_ptr<PeerConnection> connection;
        TimePoint since;
    };
    std::map<HostId, AnswerConnection> m_answerConnections;
    std::unique_ptr<TcpListener> m_listener;
};

}
