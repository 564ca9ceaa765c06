#pragma once

#include "Base/Ids.h"
#include "Orders/OrderLimits.h"
#include "Orders/OrderOutcome.h"

#include <string>

namespace Mangofall::Orders {

/// Maximum length in bytes of a content type; longer ones are not stored.
constexpr std::size_t maxContentTypeBytes = 128;

/// Maximum number of bytes by which a record grows when it is resolved.
std::size_t maxResolutionGrowth(const OrderLimits &limits);

/// Reduces \p outcome so that its record fits into a head. Returns a body that is too large for the head and must be written
/// under bodyKey before the record; empty if there is none.
std::string boundOutcome(const OrderKey &key, const OrderLimits &limits, OrderOutcome &outcome);

}
