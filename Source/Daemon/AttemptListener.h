#pragma once

#include "Base/Ids.h"

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

/**
 * \class AttemptListener
 * \brief The entry side of an attempt: receives its answer on the thread that dispatched it.
 */
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    /// StreamStart, StreamData, StreamEnd or ProbeAnswer.
    virtual void handleAnswer(const Wire::PeerMessageT &message) = 0;
    /// The connection to the dispatcher on \p host failed; what was sent over it may be lost.
    virtual void handleLinkBroken(const HostId &host) = 0;
};

}
