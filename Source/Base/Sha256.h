#pragma once

#include <string>
#include <string_view>

namespace Mangofall {

/// SHA-256 of \p data as 64 lower-case hexadecimal digits; identifies a secret without revealing it.
std::string sha256Hex(std::string_view data);

}
