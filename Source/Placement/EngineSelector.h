#pragma once

#include "Placement/DistanceCost.h"
#include "Placement/EngineSpec.h"
#include "Placement/UpstreamSelector.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class EngineSelector
 * \brief Places prompts on model engines so that the prefill of one prompt does not pause the answers of other requests too long.
 *
 * An engine that decodes answers with short pause limits takes no long prefill. A long prompt is divided into equal parts, which as many engines
 * prefill in parallel as the target needs. Requests fill engines that serve the same pause limit before another one is used, so that engines stay free
 * for long prompts. No fixed length separates short prompts from long ones: the choice follows from the present load.
 */
class EngineSelector final : public UpstreamSelector
{
public:
    /// \p reserves: engines are reserved ahead of time for prompts that exceed one engine, which then need not wait for a low load. Without \p distance,
    /// upstreams in other data centres have a fixed cost.
    explicit EngineSelector(const EngineSpec &spec, bool reserves = false, std::shared_ptr<const DistanceCost> distance = nullptr);

    std::optional<Selection> select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const override;
    std::optional<Selection> selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration acceptable, TimePoint now) const override;
    Duration leastServiceTime(const PlacementRequest &request) const override;
    Duration partPrefillTime(const PlacementRequest &request, std::uint32_t parts) const override;
    Duration workOf(const PlacementRequest &request) const override;
    bool needsLowLoad(const PlacementRequest &request) const override;
    TimePoint latestStart(const PlacementRequest &request) const override;

private:
    /// The state of one engine as far as a choice needs it, computed once per choice.
    struct Engine {
        UpstreamLoad *load = nullptr;
        Duration backlog{}; ///< Time to finish the prefill work that it has.
        std::uint32_t decoding = 0; ///< Requests in decode, with those that this owner has not granted.
        Duration iteration{}; ///< Time of an iteration with one more request in decode and without prefill.
        Duration shortestPauseLimit{}; ///< Of the requests on the engine.
        std::uint64_t freeMemory = 0; ///< Tokens.
        bool hasSlot = false;
        bool canHelp = false; ///< Whether it may prefill a part of a prompt.
        Duration untilHold = Duration::max(); ///< Until the engine's next reservation for another request.
        Duration heldPrefill{}; ///< Prefill time of that reservation's part.
        std::uint64_t heldMemory = 0; ///< Tokens that the reservation needs.
        double cost = 0; ///< The cost of choosing it, without the part that depends on the first event estimate.
    };
    using Engines = std::vector<Engine>;

    /// Bounds on the number of engines that share the prefill of a prompt.
    struct PartNumbers {
        std::uint32_t least = 1;
        std::uint32_t most = 1;
    };

    struct Choice {
        Selection selection;
        double cost = 0;
    };

    Engines describeAll(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const;
    /// Chooses the number of parts and the engines with the lowest cost. \p engines are sorted by preference.
    std::optional<Selection>
    choose(const PlacementRequest &request, const Engines &engines, const PartNumbers &numbers, Duration acceptable, Duration preferred) const;
    /// The number of engines that one more prompt which exceeds one engine may use.
    std::uint32_t enginesForLargePrompts(const Engines &engines) const;
    Engine describe(const PlacementRequest &request, UpstreamLoad &load, TimePoint now) const;
    /// Chooses the best engine that prefills the whole prompt.
    std::optional<Choice> chooseOne(const PlacementRequest &request, const Engines &engines, Duration acceptable, Duration preferred) const;
    /// Chooses the best primary engine and, as helpers, the first others that can take an equal part. \p engines are sorted by preference as helpers.
    std::optional<Choice> chooseParts(const PlacementRequest &request, const Engines &engines, std::uint32_t parts, Duration preferred) const;
    /// Returns whether the prompt and its answer exceed the KV memory of one engine, so that helpers must store a part of the prompt.
    bool exceedsOneEngine(const PlacementRequest &request) const;
    bool hasRoom(const Engine &engine, const PlacementRequest &request) const;
    /// Returns whether the engines have so little prefill work that a prompt which occupies all of them for seconds delays few other requests.
    static bool hasLowLoad(const Engines &engines);
    /// Sets how many prompt tokens each helper stores for a prompt that exceeds one engine. Returns false if the helpers cannot store enough.
    bool divideMemory(const PlacementRequest &request, const Engine &primary, const std::vector<const Engine *> &helpers, Selection &selection) const;
    /// Returns whether the requests in decode on \p engine keep their pause limits if it takes \p prefill of additional prefill time.
    bool keepsPauseLimits(const Engine &engine, Duration prefill, std::uint64_t promptTokens) const;
    /// Returns whether the request, with \p prefill here, does not delay the engine's next reservation: it ends before the start, or its answer can go on
    /// beside the reserved part.
    bool endsBeforeHold(const Engine &engine, const PlacementRequest &request, Duration prefill) const;
    /// The estimated time from the grant to the first event if \p engine takes \p prefill of additional prefill time.
    Duration timeToFirstEvent(const Engine &engine, Duration prefill) const;
    /// The cost of choosing the upstream, without the part that depends on the first event estimate.
    double baseCost(const PlacementRequest &request, const UpstreamLoad &load, TimePoint now) const;

    EngineSpec m_spec;
    bool m_reserves;
    std::shared_ptr<const DistanceCost> m_distance;
};

}
