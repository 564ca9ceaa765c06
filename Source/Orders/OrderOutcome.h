#pragma once

#include <string>

namespace Mangofall::Orders {

/**
 * \class OrderOutcome
 * \brief The upstream's answer to an order, which later retries of the caller receive as well.
 */
struct OrderOutcome {
    int httpStatus = 0;
    std::string contentType;
    std::string body; ///< Empty if bodyKey is set.
    std::string bodyKey; ///< Store key of a body that is too large for the shard's head; the body is read from there before the caller is answered.
    bool bodyDropped = false; ///< The body exceeded the store's limit on values and was not stored.

    friend bool operator==(const OrderOutcome &, const OrderOutcome &) = default;
};

}
