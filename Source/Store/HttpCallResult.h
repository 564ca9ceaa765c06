#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace Mangofall {

/**
 * \class HttpCallResult
 * \brief Outcome of one HTTP call. Without a response, the call failed or timed out.
 */
struct HttpCallResult {
    bool possiblySent = false; ///< Whether the server may have received the request.
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> response;
};

}
