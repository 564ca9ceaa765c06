#pragma once

#include <pcg_random.hpp>

namespace Mangofall {

/// The random engine that callers pass to every decision, so that a run can be repeated from its seed.
using RandomEngine = pcg64;

}
