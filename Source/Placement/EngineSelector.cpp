#include "Placement/EngineSelector.h"

#include "Placement/EngineCost.h"
#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Placement {

namespace {

// A request names at most 16 helpers in addition to the engine that answers.
constexpr std::uint32_t maxParts = 17;
// Shares of a limit that an estimate may use up. The rest covers network and waiting times that the estimates leave out.
constexpr double pauseShare = 0.8;
constexpr double preferredShare = 0.6;
constexpr double targetShare = 0.85;
// A part of a prompt is worth sending to another engine only if its prefill takes several steps.
constexpr std::uint32_t leastChunksPerPart = 4;
// Highest mean prefill backlog of the engines at which a prompt that exceeds one engine's memory is started.
constexpr std::chrono::milliseconds lowLoadBacklog{60};
// An engine prefills the part that came last first. So it helps with one prompt at a time, and with none while it has a longer prefill than this for a
// request that it answers itself, because that prefill would be delayed.
constexpr std::chrono::milliseconds maxDelayedPrefill{100};
// Estimate for connecting, sending and forwarding.
constexpr std::chrono::milliseconds networkTime{15};
// Engines allocate memory in blocks, so a request takes slightly more than its tokens.
constexpr double usableMemory = 0.97;

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
    return Seconds(estimate) / std::max(Seconds(request.target), Seconds(networkTime));
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

EngineSelector::EngineSelector(const EngineSpec &spec, std::shared_ptr<const DistanceCost> distance)
    : m_spec(spec)
    , m_distance(distance ? std::move(distance) : std::make_shared<ConstantDistanceCost>(otherDataCentreCost))
{
}

std::optional<Selection> EngineSelector::select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const
{
    const bool late = now >= latestStart(request);
    const Duration timeLeft = late ? Duration(request.deadline - now) : timeToTarget(request, now);
    Engines engines;
    engines.reserve(candidates.size());
    for (UpstreamLoad *load : candidates) {
        engines.push_back(describe(request, *load, now));
    }
    if (exceedsOneEngine(request) && !hasLowLoad(engines)) {
        return std::nullopt;
    }
    // Engines with a shorter pause limit than that of the request come last; otherwise the smaller backlog comes first.
    std::stable_sort(engines.begin(), engines.end(), [&](const Engine &left, const Engine &right) {
        const bool leftHasShorterLimit = left.shortestPauseLimit < request.pauseLimit;
        const bool rightHasShorterLimit = right.shortestPauseLimit < request.pauseLimit;
        return leftHasShorterLimit != rightHasShorterLimit ? rightHasShorterLimit : left.backlog < right.backlog;
    });
    const Duration acceptable = late ? timeLeft : share(timeLeft, targetShare);
    const Duration preferred = share(timeLeft, preferredShare);
    const std::uint32_t mostParts = std::min(maxUsefulParts(request), static_cast<std::uint32_t>(engines.size()));
    std::optional<Choice> best;
    for (std::uint32_t parts = 1; parts <= mostParts; ++parts) {
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

Duration EngineSelector::leastServiceTime(const PlacementRequest &request) const
{
    return prefillTime(m_spec, request.promptTokens, maxUsefulParts(request)) + networkTime;
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

std::uint32_t EngineSelector::maxUsefulParts(const PlacementRequest &request) const
{
    const std::uint64_t leastTokens = std::uint64_t{leastChunksPerPart} * m_spec.chunkTokens;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(request.promptTokens / leastTokens, 1, maxParts));
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
    const auto usable = static_cast<std::uint64_t>(usableMemory * static_cast<double>(m_spec.memoryTokens));
    engine.freeMemory = usable - std::min(usable, load.memoryTokens());
    engine.hasSlot = load.requests() + unknown < std::min(m_spec.slots, load.entry().slots);
    engine.canHelp = load.helperPrefills() == 0 && !load.failures().avoided(now) && load.longestOwnPrefill() <= maxDelayedPrefill;
    engine.cost = baseCost(request, load, now);
    return engine;
}

std::optional<EngineSelector::Choice>
EngineSelector::chooseOne(const PlacementRequest &request, const Engines &engines, Duration acceptable, Duration preferred) const
{
    const Duration prefill = prefillTime(m_spec, request.promptTokens, 1);
    std::optional<Choice> best;
    for (const Engine &engine : engines) {
        const Duration estimate = timeToFirstEvent(engine, prefill);
        if (estimate > acceptable || !hasRoom(engine, request) || !keepsPauseLimits(engine, prefill, request.promptTokens)) {
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
        if (!engine.canHelp || !keepsPauseLimits(engine, prefill, request.promptTokens)) {
            continue;
        }
        eligible.push_back(&engine);
        const double memoryShare = exceedsOneEngine(request) ? static_cast<double>(engine.freeMemory) / static_cast<double>(m_spec.memoryTokens) : 0;
        const double cost = engine.cost + shareOfTarget(request, engine.backlog) - memoryShare;
        const bool usable = exceedsOneEngine(request) ? engine.hasSlot : hasRoom(engine, request);
        if (usable && (primary == nullptr || cost < lowest)) {
            primary = &engine;
            lowest = cost;
        }
    }
    if (primary == nullptr || eligible.size() < parts) {
        return std::nullopt;
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
    return static_cast<double>(request.promptTokens + request.outputTokens) > usableMemory * static_cast<double>(m_spec.memoryTokens);
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
    return engine.iteration + longestPrefillInIteration(m_spec, engine.backlog + prefill, largest) <= share(engine.shortestPauseLimit, pauseShare);
}

// If the engine has requests in decode, the prompt is prefilled inside their iterations, and the first event follows at the end of an iteration.
Duration EngineSelector::timeToFirstEvent(const Engine &engine, Duration prefill) const
{
    const Duration waitForIteration = engine.decoding > 0 ? engine.iteration / 2 : Duration::zero();
    const Duration atEngine = engine.backlog + prefill + engine.iteration + waitForIteration;
    return (engine.load->slowness() > 1 ? toDuration(Seconds(atEngine) * engine.load->slowness()) : atEngine) + networkTime;
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
