#pragma once

#include <memory>

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

class PeerConnection;

/**
 * \class PeerMessageHandler
 * \brief Receives messages and the closing of peer connections; called on the thread of the connection.
 */
class PeerMessageHandler
{
public:
    virtual ~PeerMessageHandler() = default;
    virtual void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) = 0;
    /// Called when \p connection was closed or failed; no further message arrives on it.
    virtual void handleClosed(const std::shared_ptr<PeerConnection> &connection) = 0;
    /// Called before \p connection is closed because a frame was too large or not a valid message.
    virtual void handleInvalidFrame(const std::shared_ptr<PeerConnection> &connection)
    {
        static_cast<void>(connection);
    }
};

}
