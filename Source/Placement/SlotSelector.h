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
    std::optional<Selection> select(const PlacementRequest &demand, const Candidates &candidates, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &demand) const override;
    Duration partReadTime(const PlacementRequest &demand, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &demand) const override;
    bool needsCalm(const PlacementRequest &demand) const override;
    TimePoint latestStart(const PlacementRequest &demand) const override;
};

}
