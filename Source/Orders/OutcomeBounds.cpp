#include "Orders/OutcomeBounds.h"

#include "Base/Hash.h"

#include <utility>

namespace Mangofall::Orders {

namespace {

// Space for the body key, CBOR headers and numbers of a resolution.
constexpr std::size_t resolutionFixedBytes = 128;

}

std::size_t maxResolutionGrowth(const OrderLimits &limits)
{
    return limits.maxInlineBytes + maxContentTypeBytes + resolutionFixedBytes;
}

std::string boundOutcome(const OrderKey &key, const OrderLimits &limits, OrderOutcome &outcome)
{
    if (outcome.contentType.size() > maxContentTypeBytes) {
        outcome.contentType.clear();
    }
    if (outcome.body.size() > limits.maxBodyBytes) {
        outcome.body.clear();
        outcome.bodyDropped = true;
    }
    if (outcome.body.size() <= limits.maxInlineBytes) {
        return {};
    }
    // The order key is hashed as well, so that no two orders share a body key.
    outcome.bodyKey = "mangofall/orders/body/" + contentHash(key.value() + '\0' + outcome.body);
    return std::exchange(outcome.body, {});
}

}
