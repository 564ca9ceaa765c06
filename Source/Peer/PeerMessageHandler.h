#pragma once

#include <memory>

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

class PeerConnection;

/**
 * \class PeerMessageHandler
 * \brief Receives what arrives on peer connections; called on the connection's thread.
 */
class PeerMessageHandler
{
public:
    virtual ~PeerMessageHandler() = default;
    virtual void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) = 0;
    /// The connection ended or failed; nothing more arrives on it.
    virtual void handleClosed(const std::shared_ptr<PeerConnection> &connection) = 0;
};

}
