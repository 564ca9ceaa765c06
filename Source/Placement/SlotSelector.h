#pragma once

#include "Placement/DistanceCost.h"
#include "Placement/UpstreamSelector.h"

#include <memory>

namespace Mangofall::Placement {

/**
 * \class SlotSelector
 * \brief Places requests of services without model engines on the upstream with the smallest share of its slots in use.
 */
class SlotSelector final : public UpstreamSelector
{
public:
    /// Without \p distance, upstreams in other data centres have a fixed cost.
    explicit SlotSelector(std::shared_ptr<const DistanceCost> distance = nullptr);

    std::optional<Selection> select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const override;
    std::optional<Selection> selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration acceptable, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &request) const override;
    Duration partPrefillTime(const PlacementRequest &request, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &request) const override;
    bool needsLowLoad(const PlacementRequest &request) const override;
    TimePoint latestStart(const PlacementRequest &request) const override;

private:
    std::shared_ptr<const DistanceCost> m_distance;
};

}
