#include "Routing/LeastInFlightChooser.h"

#include <random>

namespace Mangofall {

std::optional<UpstreamId> LeastInFlightChooser::choose(const RequestProfile &, std::span<const UpstreamView> views, RandomEngine &random)
{
    const UpstreamView *best = nullptr;
    std::uint32_t fewest = 0;
    std::uint32_t ties = 0;
    for (const UpstreamView &view : views) {
        if (!acceptsWork(view.state)) {
            continue;
        }
        const std::uint32_t requests = view.inFlightRequests + view.queuedRequests;
        if (best == nullptr || requests < fewest) {
            best = &view;
            fewest = requests;
            ties = 1;
        } else if (requests == fewest && std::uniform_int_distribution<std::uint32_t>(0, ties++)(random) == 0) {
            best = &view;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

}
