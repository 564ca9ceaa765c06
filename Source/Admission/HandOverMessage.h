#pragma once

#include "Admission/Caps.h"
#include "Base/AttemptId.h"
#include "Base/Ids.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class HandOverMessage
 * \brief The attempts in flight of a dispatcher that has released its upstream, for the upstream's next dispatcher.
 *
 * Sent at the release, and again whenever an attempt reaches its first token or ends.
 */
struct HandOverMessage {
    /// An attempt in flight.
    struct Item {
        AttemptId attempt;
        std::uint64_t prefillTokens = 0; ///< 0 once the first token has arrived.

        friend bool operator==(const Item &, const Item &) = default;
    };

    UpstreamId upstream;
    std::uint64_t epoch = 0; ///< Epoch of the upstream for which the caps were learned.
    Caps caps;
    std::vector<Item> inFlight; ///< Attempts that the sender continues; the next dispatcher counts them against the caps.

    friend bool operator==(const HandOverMessage &, const HandOverMessage &) = default;
};

}
