#pragma once

#include <string>

namespace Mangofall::Orders {

/**
 * \class OrderOutcome
 * \brief The upstream's answer to an order, as a later retry of the caller gets it.
 */
struct OrderOutcome {
    int httpStatus = 0;
    std::string contentType;
    std::string body; ///< Empty if bodyKey is set.
    std::string bodyKey; ///< Store key of a body too large for the shard's head; the adapter reads it before it answers.
    bool bodyDropped = false; ///< The body exceeded the store's value limit and was not kept.

    friend bool operator==(const OrderOutcome &, const OrderOutcome &) = default;
};

}
