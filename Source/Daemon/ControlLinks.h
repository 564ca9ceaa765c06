#pragma once

#include "Base/Ids.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/HostContext.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerMessageHandler.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace Mangofall {

/**
 * \class ControlLinks
 * \brief This host's outgoing control connections, one per host that it sends to.
 */
class ControlLinks
{
public:
    /// \p handler receives what arrives on the links and hears of their ends; it must outlive the links.
    ControlLinks(boost::asio::io_context &context, HostContext &host, PeerMessageHandler &handler);

    /// Sends to \p host at \p address; a changed address gets a new connection.
    void send(const HostId &host, const PeerAddress &address, Wire::PeerMessageT &&message);

    /// Closes the connection to \p host; the next send() makes a new one.
    void replace(const HostId &host);

    /// A connection of its own, outside the table, for a probe.
    std::shared_ptr<PeerLink> open(const PeerAddress &address, PeerMessageHandler &handler);

    /// The host that \p connection leads to; empty if it is not one of the links.
    HostId hostOf(const std::shared_ptr<PeerConnection> &connection) const;

private:
    struct Entry {
        PeerAddress address;
        std::shared_ptr<PeerLink> link;
    };

    boost::asio::io_context &m_context;
    HostContext &m_host;
    PeerMessageHandler &m_handler;
    std::shared_ptr<const Wire::HelloT> m_hello;
    std::map<HostId, Entry> m_links;
};

}
