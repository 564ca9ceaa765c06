#pragma once

#include <pcg_random.hpp>

namespace Mangofall {

/// The random engine that callers pass to decisions, so that a seed replays a run.
using RandomEngine = pcg64;

}
