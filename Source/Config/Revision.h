#pragma once

#include <cstdint>

namespace Mangofall {

/// Number of a configuration; higher is newer, 0 means none.
using Revision = std::uint64_t;

}
