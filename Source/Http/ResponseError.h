#pragma once

#include <boost/system/error_code.hpp>

#include <type_traits>

namespace Mangofall {

/// Why a response is not accepted although its bytes follow the syntax of HTTP.
enum class ResponseError {
    InvalidStatus = 1, ///< The status is outside of 100 to 599.
    UnrequestedUpgrade, ///< Status 101, which no request of ours asks for.
    TooManyInformational, ///< More informational responses than are accepted before the final one.
    EndUnknown, ///< The end of the connection delimits the body, but the connection had failed before.
};

/// Category of ResponseError.
const boost::system::error_category &responseCategory();

boost::system::error_code make_error_code(ResponseError error);

/// Whether \p error means that an upstream sent bytes which are no response, rather than a part of one.
bool isMalformedResponse(const boost::system::error_code &error);

}

template<>
struct boost::system::is_error_code_enum<Mangofall::ResponseError> : std::true_type {
};
