#pragma once

#include "Base/Ids.h"
#include "Orders/OrderLimits.h"
#include "Orders/OrderOutcome.h"

#include <string>

namespace Mangofall::Orders {

/// A content type longer than this is not kept.
constexpr std::size_t maxContentTypeBytes = 128;

/// Bytes by which a record may grow when it is resolved, at most.
std::size_t maxResolutionGrowth(const OrderLimits &limits);

/// Bounds \p outcome so that its record fits into a head; returns the body that must first be written under bodyKey, if any.
std::string boundOutcome(const OrderKey &key, const OrderLimits &limits, OrderOutcome &outcome);

}
