#pragma once

#include <cstdint>

namespace Mangofall {

/// The revision number of a configuration; a higher number is newer, 0 means that there is no configuration.
using Revision = std::uint64_t;

}
