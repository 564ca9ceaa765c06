#pragma once

#include <boost/beast/core/string_type.hpp>

#include <string_view>

namespace Mangofall {

/// Converts to Beast's own string view, which does not convert from std::string_view.
inline boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

}
