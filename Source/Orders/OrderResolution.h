#pragma once

#include "Orders/OrderOutcome.h"

namespace Mangofall::Orders {

/// Who says how an order ended.
enum class ResolutionSource {
    UpstreamAnswer, ///< The upstream answered the order itself, or refused it before any work.
    NeverSent, ///< The claim's owner gave up before it sent anything.
    StatusCall, ///< The upstream's status call.
    Operator,
};

/**
 * \class OrderResolution
 * \brief How an order ended: it ran with an outcome, or it did not run and never will under its claim.
 */
struct OrderResolution {
    bool ran = false;
    ResolutionSource source = ResolutionSource::UpstreamAnswer;
    OrderOutcome outcome; ///< Set if it ran.

    /// Whether the key may be claimed again: the owner itself knows that its only send was refused or never made.
    bool permitsNewClaim() const
    {
        return !ran && (source == ResolutionSource::UpstreamAnswer || source == ResolutionSource::NeverSent);
    }

    friend bool operator==(const OrderResolution &, const OrderResolution &) = default;
};

}
