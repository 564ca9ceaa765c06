#pragma once

#include "Admission/Caps.h"
#include "Base/AttemptId.h"
#include "Base/Ids.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class HandOverMessage
 * \brief What a dispatcher that gives up its upstream tells the next one; sent again whenever the list gets shorter.
 */
struct HandOverMessage {
    struct Item {
        AttemptId attempt;
        std::uint64_t prefillTokens = 0; ///< 0 once the first token arrived.

        friend bool operator==(const Item &, const Item &) = default;
    };

    UpstreamId upstream;
    std::uint64_t epoch = 0; ///< Upstream's epoch that caps refers to.
    Caps caps;
    std::vector<Item> inFlight; ///< Still run by the sender; the next dispatcher counts them.

    friend bool operator==(const HandOverMessage &, const HandOverMessage &) = default;
};

}
