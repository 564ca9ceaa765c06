#include "Placement/EngineSelector.h"

#include "Placement/EngineCost.h"
#include "Placement/EngineForecast.h"
#include "Placement/EngineRules.h"
#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Share of the time left below which an estimate is preferred.
constexpr double preferredShare = 0.6;
// Highest mean prefill backlog of the engines at which a prompt that exceeds one engine's memory is started.
constexpr std::chrono::milliseconds lowLoadBacklog{60};

// Costs that rank the engines which keep all limits.
constexpr double shortenedLimitCost = 1.0; // The request would give the engine a shorter pause limit than it has.
constexpr double strictEngineCost = 1.5; // The engine serves a shorter pause limit than that of the request.
constexpr double otherDataCentreCost = 0.15; // Unless the deployment decides by cost (DataCentreTraffic).
constexpr double fillBonus = 1.2; // Outweighs another data centre and one more prefill, so that engines taken into use in a burst become idle after it.
constexpr double beyondPreferredCost = 1.2; // Makes the use of another engine better than an estimate near the target.
constexpr double helperCost = 0.01; // Each helper is one more engine whose loss ends the request.

Duration share(Duration duration, double part)
{
    return toDuration(Seconds(duration) * part);
}

double shareOfTarget(const PlacementRequest &request, Duration estimate)
{
    return Seconds(estimate) / std::max(Seconds(request.target), Seconds(engineNetworkTime));
}

double estimateCost(const PlacementRequest &request, Duration estimate, Duration preferred)
{
    return shareOfTarget(request, estimate) + (estimate > preferred ? beyondPreferredCost : 0);
}

Duration timeToTarget(const PlacementRequest &request, TimePoint now)
{
    return request.arrivedAt + request.target - now;
}

}

EngineSelector::EngineSelector(const EngineSpec &spec, bool reserves, std::shared_ptr<const DistanceCost> distance)
    : m_spec(spec)
    , m_reserves(reserves)
    , m_distance(distance ? std::move(distance) : std::make_shared<ConstantDistanceCost>(otherDataCentreCost))
{
}

std::optional<Selection> EngineSelector::select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const
{
    const bool late = now >= latestStart(request);
    const Duration timeLeft = late ? Duration(request.deadline - now) : timeToTarget(request, now);
    const Engines engines = describeAll(request, candidates, now);
    PartNumbers numbers{1, std::min(maxUsefulParts(m_spec, request.promptTokens), static_cast<std::uint32_t>(engines.size()))};
    if (exceedsOneEngine(request) && !hasLowLoad(engines)) {
        if (!m_reserves) {
            return std::nullopt;
        }
        numbers = {leastParts(m_spec, request.promptTokens), std::min(numbers.most, enginesForLargePrompts(engines))};
    }
    return choose(request, engines, numbers, late ? timeLeft : share(timeLeft, usableTargetShare), share(timeLeft, preferredShare));
}

std::optional<Selection> EngineSelector::selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration acceptable, TimePoint now) const
{
    const Engines engines = describeAll(request, candidates, now);
    const std::uint32_t parts = std::min(maxUsefulParts(m_spec, request.promptTokens), static_cast<std::uint32_t>(engines.size()));
    std::optional<Choice> choice = chooseParts(request, engines, parts, acceptable);
    if (!choice || choice->selection.firstEventEstimate > acceptable) {
        return std::nullopt;
    }
    return std::move(choice->selection);
}

std::optional<Selection>
EngineSelector::choose(const PlacementRequest &request, const Engines &engines, const PartNumbers &numbers, Duration acceptable, Duration preferred) const
{
    std::optional<Choice> best;
    for (std::uint32_t parts = numbers.least; parts <= numbers.most; ++parts) {
        std::optional<Choice> choice = parts == 1 ? chooseOne(request, engines, acceptable, preferred) : chooseParts(request, engines, parts, preferred);
        if (!choice || choice->selection.firstEventEstimate > acceptable) {
            continue;
        }
        if (!best || choice->cost < best->cost) {
            best = std::move(choice);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return std::move(best->selection);
}

std::uint32_t EngineSelector::enginesForLargePrompts(const Engines &engines) const
{
    const auto used = std::count_if(engines.begin(), engines.end(), [this](const Engine &engine) {
        return Placement::exceedsOneEngine(m_spec, engine.load->largestPrefillPrompt());
    });
    const auto most = static_cast<std::ptrdiff_t>(largePromptShare * static_cast<double>(engines.size()));
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(most - used, 0));
}

// Engines with a shorter pause limit than that of the request come last; otherwise the smaller backlog comes first.
EngineSelector::Engines EngineSelector::describeAll(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const
{
    Engines engines;
    engines.reserve(candidates.size());
    for (UpstreamLoad *load : candidates) {
        engines.push_back(describe(request, *load, now));
    }
    std::stable_sort(engines.begin(), engines.end(), [&](const Engine &left, const Engine &right) {
        const bool leftHasShorterLimit = left.shortestPauseLimit < request.pauseLimit;
        const bool rightHasShorterLimit = right.shortestPauseLimit < request.pauseLimit;
        return leftHasShorterLimit != rightHasShorterLimit ? rightHasShorterLimit : left.backlog < right.backlog;
    });
    return engines;
}

Duration EngineSelector::leastServiceTime(const PlacementRequest &request) const
{
    return prefillTime(m_spec, request.promptTokens, maxUsefulParts(m_spec, request.promptTokens)) + engineNetworkTime;
}

Duration EngineSelector::partPrefillTime(const PlacementRequest &request, std::uint32_t parts) const
{
    return prefillTime(m_spec, request.promptTokens, parts);
}

// An iteration takes about the same time however many requests are in decode, so each request is charged for one slot's share of it.
Duration EngineSelector::workOf(const PlacementRequest &request) const
{
    const auto iterations = static_cast<Duration::rep>(request.outputTokens / std::max(m_spec.stepsPerIteration, 1U) + 1);
    return prefillTime(m_spec, request.promptTokens, 1) + iterationTime(m_spec, 1, request.promptTokens) * iterations / std::max(m_spec.slots, 1U);
}

bool EngineSelector::needsLowLoad(const PlacementRequest &request) const
{
    return exceedsOneEngine(request);
}

TimePoint EngineSelector::latestStart(const PlacementRequest &request) const
{
    return request.arrivedAt + request.target - leastServiceTime(request) - iterationTime(m_spec, 1, request.promptTokens);
}

EngineSelector::Engine EngineSelector::describe(const PlacementRequest &request, UpstreamLoad &load, TimePoint now) const
{
    Engine engine;
    engine.load = &load;
    const std::uint32_t unknown = load.unknownLoad().requests(now);
    engine.decoding = load.decodingRequests() + unknown;
    engine.backlog = load.prefillBacklog(now, iterationTime(m_spec, engine.decoding, load.contextTokens()));
    engine.iteration = iterationTime(m_spec, load.requests() + unknown + 1, load.contextTokens());
    engine.shortestPauseLimit = load.shortestPauseLimit();
    const std::uint64_t usable = usableMemory(m_spec);
    engine.freeMemory = usable - std::min(usable, load.memoryTokens());
    engine.hasSlot = load.requests() + unknown < std::min(m_spec.slots, load.entry().slots);
    engine.canHelp = load.helperPrefills() == 0 && !load.failures().avoided(now) && load.longestOwnPrefill() <= maxDelayedPrefill;
    engine.cost = baseCost(request, load, now);
    if (const std::optional<EngineHold> &hold = load.hold(); hold && hold->owner != request.id) {
        engine.untilHold = std::max<Duration>(hold->start - now, Duration::zero());
        engine.heldPrefill = hold->partPrefill;
        engine.heldMemory = hold->memoryTokens;
    }
    return engine;
}

std::optional<EngineSelector::Choice>
EngineSelector::chooseOne(const PlacementRequest &request, const Engines &engines, Duration acceptable, Duration preferred) const
{
    const Duration prefill = prefillTime(m_spec, request.promptTokens, 1);
    std::optional<Choice> best;
    for (const Engine &engine : engines) {
        const Duration estimate = timeToFirstEvent(engine, prefill);
        if (estimate > acceptable || !hasRoom(engine, request) || !keepsPauseLimits(engine, prefill, request.promptTokens)
            || !endsBeforeHold(engine, request, prefill)) {
            continue;
        }
        const double cost = engine.cost + estimateCost(request, estimate, preferred);
        if (!best || cost < best->cost) {
            best = Choice{Selection{engine.load, {}, {}, prefill, estimate}, cost};
        }
    }
    return best;
}

std::optional<EngineSelector::Choice>
EngineSelector::chooseParts(const PlacementRequest &request, const Engines &engines, std::uint32_t parts, Duration preferred) const
{
    const Duration prefill = prefillTime(m_spec, request.promptTokens, parts);
    std::vector<const Engine *> eligible;
    const Engine *primary = nullptr;
    double lowest = 0;
    for (const Engine &engine : engines) {
        if (!engine.canHelp || !keepsPauseLimits(engine, prefill, request.promptTokens) || engine.backlog + prefill > engine.untilHold) {
            continue;
        }
        eligible.push_back(&engine);
        const double memoryShare = exceedsOneEngine(request) ? static_cast<double>(engine.freeMemory) / static_cast<double>(m_spec.memoryTokens) : 0;
        const double cost = engine.cost + shareOfTarget(request, engine.backlog) - memoryShare;
        const bool usable = exceedsOneEngine(request) ? engine.hasSlot : hasRoom(engine, request);
        if (usable && endsBeforeHold(engine, request, prefill) && (primary == nullptr || cost < lowest)) {
            primary = &engine;
            lowest = cost;
        }
    }
    if (primary == nullptr || eligible.size() < parts) {
        return std::nullopt;
    }
    if (exceedsOneEngine(request) && m_reserves) {
        std::stable_sort(eligible.begin(), eligible.end(), [](const Engine *left, const Engine *right) {
            return left->freeMemory > right->freeMemory;
        });
    }
    Selection selection{primary->load, {}, {}, prefill, timeToFirstEvent(*primary, prefill)};
    std::vector<const Engine *> helpers;
    for (const Engine *engine : eligible) {
        if (engine != primary && helpers.size() + 1 < parts) {
            helpers.push_back(engine);
            selection.helpers.push_back(engine->load);
            selection.firstEventEstimate = std::max(selection.firstEventEstimate, timeToFirstEvent(*engine, prefill));
        }
    }
    if (exceedsOneEngine(request) && !divideMemory(request, *primary, helpers, selection)) {
        return std::nullopt;
    }
    const double cost = primary->cost + estimateCost(request, selection.firstEventEstimate, preferred) + helperCost * (parts - 1);
    return Choice{std::move(selection), cost};
}

bool EngineSelector::exceedsOneEngine(const PlacementRequest &request) const
{
    return Placement::exceedsOneEngine(m_spec, request.promptTokens + request.outputTokens);
}

bool EngineSelector::hasLowLoad(const Engines &engines)
{
    Duration total = Duration::zero();
    for (const Engine &engine : engines) {
        total += engine.backlog;
    }
    return total <= lowLoadBacklog * static_cast<Duration::rep>(engines.size());
}

bool EngineSelector::hasRoom(const Engine &engine, const PlacementRequest &request) const
{
    return engine.hasSlot && request.promptTokens + request.outputTokens <= engine.freeMemory;
}

bool EngineSelector::divideMemory(const PlacementRequest &request,
                                  const Engine &primary,
                                  const std::vector<const Engine *> &helpers,
                                  Selection &selection) const
{
    std::uint64_t remaining = request.promptTokens + request.outputTokens;
    remaining -= std::min(remaining, primary.freeMemory);
    for (const Engine *helper : helpers) {
        const std::uint64_t stored = std::min({remaining, helper->freeMemory, request.promptTokens});
        selection.helperMemory.push_back(stored);
        remaining -= stored;
    }
    return remaining == 0;
}

bool EngineSelector::keepsPauseLimits(const Engine &engine, Duration prefill, std::uint64_t promptTokens) const
{
    if (engine.shortestPauseLimit == Duration::max()) {
        return true;
    }
    const std::uint64_t largest = std::max(promptTokens, engine.load->largestPrefillPrompt());
    return engine.iteration + longestPrefillInIteration(m_spec, engine.backlog + prefill, largest) <= share(engine.shortestPauseLimit, usablePauseShare);
}

bool EngineSelector::endsBeforeHold(const Engine &engine, const PlacementRequest &request, Duration prefill) const
{
    if (engine.untilHold == Duration::max()) {
        return true;
    }
    const Duration prefillEnd = timeToFirstEvent(engine, prefill);
    if (prefillEnd + answerTime(m_spec, request.outputTokens, engine.iteration) <= engine.untilHold) {
        return true;
    }
    const bool keepsPause = request.pauseLimit == Duration::zero() || engine.iteration + engine.heldPrefill <= share(request.pauseLimit, usablePauseShare);
    const bool leavesRoom = request.promptTokens + request.outputTokens + engine.heldMemory <= engine.freeMemory;
    const bool leavesSlot = engine.load->requests() + 2 <= std::min(m_spec.slots, engine.load->entry().slots);
    return prefillEnd <= engine.untilHold && keepsPause && leavesRoom && leavesSlot;
}

// If the engine has requests in decode, the prompt is prefilled inside their iterations, and the first event follows at the end of an iteration.
Duration EngineSelector::timeToFirstEvent(const Engine &engine, Duration prefill) const
{
    const Duration waitForIteration = engine.decoding > 0 ? engine.iteration / 2 : Duration::zero();
    const Duration atEngine = engine.backlog + prefill + engine.iteration + waitForIteration;
    return (engine.load->slowness() > 1 ? toDuration(Seconds(atEngine) * engine.load->slowness()) : atEngine) + engineNetworkTime;
}

double EngineSelector::baseCost(const PlacementRequest &request, const UpstreamLoad &load, TimePoint now) const
{
    const Duration shortestLimit = load.shortestPauseLimit();
    double total = shortestLimit > request.pauseLimit ? shortenedLimitCost : 0;
    total += shortestLimit < request.pauseLimit ? strictEngineCost : 0;
    total += m_distance->of(request, load.entry());
    total -= fillBonus * load.requests() / std::max(m_spec.slots, 1U);
    total += load.failures().cost(now);
    return total;
}

}
