#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"

#include <string>

namespace Mangofall::Orders {

/**
 * \class OrderClaim
 * \brief The right to send one order once; durable before any byte goes to the upstream.
 */
struct OrderClaim {
    OrderKey key;
    AttemptId attempt; ///< Names the only send this claim permits.
    std::string bodyHash; ///< Content hash of the caller's body; tells a retry from a reused key.
    OrganisationId organisation;
    ServiceId service;
    UpstreamId upstream; ///< The upstream that gets the order.
    bool hasStatusCall = false; ///< Whether the service has a status call.
    WallTime claimedAt{};

    friend bool operator==(const OrderClaim &, const OrderClaim &) = default;
};

}
