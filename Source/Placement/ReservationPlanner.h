#pragma once

#include "Base/Time.h"
#include "Placement/EngineForecast.h"
#include "Placement/EngineSpec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Mangofall::Placement {

struct PlacementRequest;

/// The use of one engine in a plan.
struct PlannedEngine {
    std::size_t index = 0; ///< Of the engine among the forecasts.
    std::uint64_t memoryTokens = 0; ///< KV memory that the engine provides.
};

/**
 * \class ReservationPlan
 * \brief The engines that run a prompt together, and when they start.
 */
struct ReservationPlan {
    std::vector<PlannedEngine> engines; ///< The first one answers.
    TimePoint start;
    TimePoint firstEvent;
    TimePoint answerEnd; ///< Expected end of an answer of usual length.
    Duration partPrefill{}; ///< Prefill time of each engine's part.
    bool onTime = false; ///< Whether the first event is expected within the target.
};

/// How many engines a plan may and should have.
struct PlanBounds {
    std::size_t most = 0;
    bool longParts = false; ///< Whether parts may take longer than longestPart, so that few engines suffice.
};

/**
 * \class ReservationPlanner
 * \brief Chooses engines and a start for a prompt that exceeds the KV memory of one engine.
 *
 * A plan has all engines that the prompt needs or does not exist. It takes the fewest engines with which the first event comes within the target, or the
 * answer by the deadline if none is on time, so that the other engines stay free for shorter prompts. If neither is possible, the earliest first event
 * counts.
 */
class ReservationPlanner
{
public:
    using Forecasts = std::vector<EngineForecast>;

    explicit ReservationPlanner(const EngineSpec &spec);

    /// Returns the best plan; nothing if no set of engines within the bounds has the memory.
    std::optional<ReservationPlan> plan(const PlacementRequest &request, const Forecasts &forecasts, const PlanBounds &bounds) const;
    /// Plans with exactly the engines \p indices, the first of which answers; returns nothing if they do not have the memory.
    std::optional<ReservationPlan> planWith(const PlacementRequest &request, const Forecasts &forecasts, const std::vector<std::size_t> &indices) const;
    /// Adds the plan to the forecasts of its engines, so that later plans follow it.
    void add(const PlacementRequest &request, const ReservationPlan &plan, Forecasts &forecasts) const;
    /// Returns whether engines could hold the prompt if they did nothing else.
    bool fitsAtAll(const PlacementRequest &request) const;

private:
    /// An engine that can take its part from \p from on.
    struct Available {
        TimePoint from;
        std::size_t index = 0;
    };

    std::optional<ReservationPlan> planParts(const PlacementRequest &request, const Forecasts &forecasts, std::uint32_t parts) const;
    /// Sets the engines, the memory and the times of a plan that starts at \p start; returns nothing if memory or a slot is missing.
    std::optional<ReservationPlan>
    complete(const PlacementRequest &request, const Forecasts &forecasts, std::vector<std::size_t> indices, TimePoint start) const;

    EngineSpec m_spec;
};

}
