#include "Http/ResponseError.h"

#include <boost/beast/http/error.hpp>

#include <string>

namespace Mangofall {

namespace {

namespace BeastHttp = boost::beast::http;

class ResponseCategory final : public boost::system::error_category
{
public:
    virtual ~ResponseCategory() = default;

    const char *name() const noexcept override
    {
        return "mangofall.response";
    }

    std::string message(int code) const override
    {
        switch (static_cast<ResponseError>(code)) {
        case ResponseError::InvalidStatus:
            return "status outside of 100 to 599";
        case ResponseError::UnrequestedUpgrade:
            return "status 101 without a request for it";
        case ResponseError::TooManyInformational:
            return "too many informational responses";
        case ResponseError::EndUnknown:
            return "response without a length on a connection that failed";
        }
        return "unknown error of a response";
    }
};

}

const boost::system::error_category &responseCategory()
{
    static const ResponseCategory category;
    return category;
}

boost::system::error_code make_error_code(ResponseError error)
{
    return {static_cast<int>(error), responseCategory()};
}

bool isMalformedResponse(const boost::system::error_code &error)
{
    if (error.category() == responseCategory()) {
        return error != ResponseError::EndUnknown;
    }
    const bool ended = error == BeastHttp::error::end_of_stream || error == BeastHttp::error::partial_message;
    return !ended && error.category() == make_error_code(BeastHttp::error::end_of_stream).category();
}

}
