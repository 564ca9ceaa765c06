#pragma once

#include "Placement/EngineSpec.h"
#include "Placement/UpstreamSelector.h"

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class EngineSelector
 * \brief Places prompts on model engines so that reading one prompt does not pause the answers that others are writing.
 *
 * Engines that write answers with short pause limits take no long reads; a long prompt is read in even parts by as many engines as its target needs.
 * Requests fill engines that serve the same pause limit before they open another one, so that engines stay free for long prompts; the borders between
 * short and long follow from the load and move as requests end.
 */
class EngineSelector final : public UpstreamSelector
{
public:
    explicit EngineSelector(const EngineSpec &spec);

    std::optional<Selection> select(const Demand &demand, const Candidates &candidates, TimePoint now) const override;
    Duration leastServiceTime(const Demand &demand) const override;
    TimePoint latestStart(const Demand &demand) const override;

private:
    std::optional<Selection> selectParts(const Demand &demand, const Candidates &candidates, std::uint32_t parts, TimePoint now) const;
    std::optional<Selection> selectOne(const Demand &demand, const Candidates &candidates, Duration limit, TimePoint now) const;
    bool bearsRead(const UpstreamLoad &load, Duration read, std::uint64_t promptTokens, TimePoint now) const;
    bool hasRoom(const UpstreamLoad &load, const Demand &demand) const;
    Duration firstPiece(const UpstreamLoad &load, Duration read, TimePoint now) const;
    double cost(const Demand &demand, const UpstreamLoad &load, Duration estimate, TimePoint now) const;

    EngineSpec m_spec;
};

}
