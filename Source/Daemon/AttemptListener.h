#pragma once

#include "Base/Ids.h"

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

/**
 * \class AttemptListener
 * \brief Receives the answer to an attempt, on the thread of the entry host that dispatched it.
 */
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    /// Called with each StreamStart, StreamData, StreamEnd, ProbeAnswer or ReservationAnswer.
    virtual void handleAnswer(const Wire::PeerMessageT &message) = 0;
    /// Called when the connection to the dispatcher on \p host failed; messages sent over it may be lost.
    virtual void handleLinkBroken(const HostId &host) = 0;
};

}
