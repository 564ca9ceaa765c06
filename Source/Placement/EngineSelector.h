#pragma once

#include "Placement/EngineSpec.h"
#include "Placement/UpstreamSelector.h"

#include <cstdint>
#include <vector>

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

    std::optional<Selection> select(const PlacementRequest &placementRequest, const Candidates &candidates, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &placementRequest) const override;
    Duration partPrefillTime(const PlacementRequest &placementRequest, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &placementRequest) const override;
    bool needsCalm(const PlacementRequest &placementRequest) const override;
    TimePoint latestStart(const PlacementRequest &placementRequest) const override;

private:
    /// What the choice needs to know of one engine, computed once per choice.
    struct Engine {
        UpstreamLoad *load = nullptr;
        Duration backlog{};
        Duration pass{}; ///< With one more writer.
        Duration tightestPause{};
        std::uint64_t freeMemory = 0; ///< Tokens.
        bool hasSlot = false;
        bool mayHelp = false;
        double cost = 0; ///< Without the part that depends on the estimate.
    };
    using Engines = std::vector<Engine>;

    struct Choice {
        Selection selection;
        double cost = 0;
    };

    Engine describe(const PlacementRequest &placementRequest, UpstreamLoad &load, TimePoint now) const;
    /// The best engine that reads the prompt alone.
    std::optional<Choice> chooseOne(const PlacementRequest &placementRequest, const Engines &engines, Duration acceptable, Duration comfortable) const;
    /// The first engines that bear an even part; \p engines are in the order in which they should help.
    std::optional<Choice> chooseParts(const PlacementRequest &placementRequest, const Engines &engines, std::uint32_t parts, Duration comfortable) const;
    std::uint32_t usefulParts(const PlacementRequest &placementRequest) const;
    /// Whether the prompt and its answer exceed the memory of any engine, so that helpers must store a part.
    bool exceedsOneEngine(const PlacementRequest &placementRequest) const;
    bool hasRoom(const Engine &engine, const PlacementRequest &placementRequest) const;
    /// Whether the engines have little to read, so that a prompt which takes all of them for seconds delays few others.
    static bool isCalm(const Engines &engines);
    /// Divides the memory of a prompt that exceeds one engine; false if the helpers cannot store enough.
    bool divideMemory(const PlacementRequest &placementRequest, const Engine &primary, const std::vector<const Engine *> &helpers, Selection &selection) const;
    bool bearsRead(const Engine &engine, Duration read, std::uint64_t promptTokens) const;
    Duration firstEventReceived(const Engine &engine, Duration read) const;
    double baseCost(const PlacementRequest &placementRequest, const UpstreamLoad &load, TimePoint now) const;

    EngineSpec m_spec;
};

}
