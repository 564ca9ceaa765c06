#pragma once

#include "Orders/OrderOutcome.h"

namespace Mangofall::Orders {

/// Where the knowledge of how an order ended comes from.
enum class ResolutionSource {
    UpstreamAnswer, ///< The upstream answered the order itself, or refused it before any work.
    NeverSent, ///< The owner of the claim gave up before it sent anything.
    StatusCall, ///< The upstream answered the status call.
    Operator, ///< An operator decided.
};

/**
 * \class OrderResolution
 * \brief How an order ended: it ran with an outcome, or it did not run and never will with its claim.
 */
struct OrderResolution {
    bool ran = false;
    ResolutionSource source = ResolutionSource::UpstreamAnswer;
    OrderOutcome outcome; ///< Set if it ran.

    /// Whether the key may be claimed again, because the owner itself knows that its only attempt was refused or never sent.
    bool permitsNewClaim() const
    {
        return !ran && (source == ResolutionSource::UpstreamAnswer || source == ResolutionSource::NeverSent);
    }

    friend bool operator==(const OrderResolution &, const OrderResolution &) = default;
};

}
