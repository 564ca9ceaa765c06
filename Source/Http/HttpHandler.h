#pragma once

#include <boost/asio/awaitable.hpp>

namespace Mangofall {

class HttpExchange;

/**
 * \class HttpHandler
 * \brief Answers the requests that a listener receives; called on the listener's thread.
 */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    /// Answers a request that was read completely.
    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
    /// Answers a request that was not read completely. \p status is 400 if it is malformed, 413 if its body and 431 if its header is too large, and 503 if the
    /// process has no memory for its body now.
    virtual boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) = 0;
};

}
