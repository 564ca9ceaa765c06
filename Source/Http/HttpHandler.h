#pragma once

#include <boost/asio/awaitable.hpp>

namespace Mangofall {

class HttpExchange;

/**
 * \class HttpHandler
 * \brief Answers the requests that a listener accepts; called on the listener's thread.
 */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
    /// Answers a request that could not be read: 400 malformed, 413 too large, 431 header too large.
    virtual boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) = 0;
};

}
