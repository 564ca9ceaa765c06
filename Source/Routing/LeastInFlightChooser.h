#pragma once

#include "Routing/UpstreamChooser.h"

namespace Mangofall {

/**
 * \class LeastInFlightChooser
 * \brief Baseline policy: chooses the upstream with the fewest requests in flight and queued; ties are broken at random.
 */
class LeastInFlightChooser final : public UpstreamChooser
{
public:
    std::optional<UpstreamId> choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random) override;
};

}
