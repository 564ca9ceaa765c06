#pragma once

#include <cstdint>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Feed {

struct EraChanges;

/// Writes the keys that are held and released in \p era to the log, up to a number of each.
void logEraChanges(EventLog &log, const EraChanges &changes, std::uint64_t era);

}
