#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace Mangofall {

/**
 * \class HttpCallResult
 * \brief What became of one HTTP call.
 */
struct HttpCallResult {
    bool possiblySent = false; ///< Whether the server may have seen the request.
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> response;
};

}
