#include "Placement/DataCentreDelays.h"

#include <optional>

namespace Mangofall::Placement {

namespace {

std::optional<Duration> listedDelay(const DataCentreDelays &delays, const DataCentreId &from, const DataCentreId &to)
{
    const auto row = delays.find(from);
    if (row == delays.end()) {
        return std::nullopt;
    }
    const auto entry = row->second.find(to);
    return entry == row->second.end() ? std::nullopt : std::optional(entry->second);
}

}

Duration delayBetween(const DataCentreDelays &delays, const DataCentreId &from, const DataCentreId &to)
{
    if (from == to) {
        return Duration::zero();
    }
    const std::optional<Duration> direct = listedDelay(delays, from, to);
    return direct ? *direct : listedDelay(delays, to, from).value_or(Duration::zero());
}

}
