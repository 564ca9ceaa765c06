#pragma once

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

/**
 * \class ReplyTarget
 * \brief Where the answer of a dispatched attempt goes: an entry session of this host or a peer.
 */
class ReplyTarget
{
public:
    virtual ~ReplyTarget() = default;
    /// May be called on any thread.
    virtual void reply(Wire::PeerMessageT &&message) = 0;
};

}
