#pragma once

#include "Placement/UpstreamSelector.h"

namespace Mangofall::Placement {

/**
 * \class SlotSelector
 * \brief Places requests of plain services on the upstream with the smallest share of its slots taken.
 */
class SlotSelector final : public UpstreamSelector
{
public:
    std::optional<Selection> select(const PlacementRequest &placementRequest, const Candidates &candidates, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &placementRequest) const override;
    Duration partPrefillTime(const PlacementRequest &placementRequest, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &placementRequest) const override;
    bool needsCalm(const PlacementRequest &placementRequest) const override;
    TimePoint latestStart(const PlacementRequest &placementRequest) const override;
};

}
