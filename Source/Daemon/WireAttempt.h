#pragma once

#include "Base/AttemptId.h"
#include "Peer/PeerMessages_generated.h"

#include <memory>

namespace Mangofall {

inline AttemptId fromWire(const Wire::AttemptKey &key)
{
    return {key.host(), key.incarnation(), key.sequence()};
}

inline std::unique_ptr<Wire::AttemptKey> toWire(const AttemptId &id)
{
    return std::make_unique<Wire::AttemptKey>(id.host, id.incarnation, id.sequence);
}

/// A peer message with \p body as its body.
template<class Body>
Wire::PeerMessageT toMessage(Body &&body)
{
    Wire::PeerMessageT message;
    message.body.Set(std::forward<Body>(body));
    return message;
}

}
