#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"

#include <string>

namespace Mangofall::Orders {

/**
 * \class OrderClaim
 * \brief The permission to send an order once; it is durable before any byte is sent to the upstream.
 */
struct OrderClaim {
    OrderKey key;
    AttemptId attempt; ///< Identifies the only attempt that this claim permits.
    std::string bodyHash; ///< Content hash of the caller's body; distinguishes a retry from a key reused for another order.
    OrganisationId organisation;
    ServiceId service;
    UpstreamId upstream; ///< The upstream that the order is sent to.
    bool hasStatusCall = false; ///< Whether the service has a status call.
    WallTime claimedAt{};

    friend bool operator==(const OrderClaim &, const OrderClaim &) = default;
};

}
