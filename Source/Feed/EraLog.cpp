#include "Feed/EraLog.h"

#include "Feed/EraTransition.h"
#include "Telemetry/EventLog.h"

#include <algorithm>

namespace Mangofall::Feed {

namespace {

// Bounds the lines that one answer adds to the log; store_era_read has the numbers.
constexpr std::size_t maxLoggedItems = 20;

}

void logEraChanges(EventLog &log, const EraChanges &changes, std::uint64_t era)
{
    for (std::size_t index = 0; index < std::min(maxLoggedItems, changes.held.size()); ++index) {
        log.write("store_item_held", {{"key", changes.held[index]}, {"era", std::to_string(era)}});
    }
    for (std::size_t index = 0; index < std::min(maxLoggedItems, changes.released.size()); ++index) {
        const ReleasedItem &item = changes.released[index];
        log.write("store_item_released", {{"key", item.key}, {"cause", name(item.cause)}, {"era", std::to_string(era)}});
    }
}

}
