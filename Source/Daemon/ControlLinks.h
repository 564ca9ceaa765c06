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
 * \brief This host's outgoing control connections, one per destination host.
 */
class ControlLinks
{
public:
    /// \p handler receives the messages that arrive on the links and is told when a link closes; it must outlive the links.
    ControlLinks(boost::asio::io_context &context, HostContext &host, PeerMessageHandler &handler);

    /// Sends \p message to \p host at \p address; opens a new connection if there is none or if the address has changed.
    void send(const HostId &host, const PeerAddress &address, Wire::PeerMessageT &&message);

    /// Closes the connection to \p host; the next send() opens a new one.
    void replace(const HostId &host);

    /// Opens a separate connection to \p address that send() does not use, for example for a probe.
    std::shared_ptr<PeerLink> open(const PeerAddress &address, PeerMessageHandler &handler);

    /// Returns the host at the other end of \p connection; empty if it is not one of the links that send() uses.
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
