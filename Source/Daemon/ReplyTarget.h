#pragma once

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

/**
 * \class ReplyTarget
 * \brief Destination of the answer to a dispatched attempt: an entry session on this host or a peer.
 */
class ReplyTarget
{
public:
    virtual ~ReplyTarget() = default;
    /// Sends \p message to the destination. May be called on any thread.
    virtual void reply(Wire::PeerMessageT &&message) = 0;
};

}
