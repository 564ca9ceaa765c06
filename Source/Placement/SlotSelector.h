#pragma once

#include "Placement/UpstreamSelector.h"

namespace Mangofall::Placement {

/**
 * \class SlotSelector
 * \brief Places requests of services without model engines on the upstream with the smallest share of its slots in use.
 */
class SlotSelector final : public UpstreamSelector
{
public:
    std::optional<Selection> select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const override;
    std::optional<Selection> selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration acceptable, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &request) const override;
    Duration partPrefillTime(const PlacementRequest &request, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &request) const override;
    bool needsLowLoad(const PlacementRequest &request) const override;
    TimePoint latestStart(const PlacementRequest &request) const override;
};

}
