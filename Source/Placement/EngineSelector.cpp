#include "Placement/EngineSelector.h"

#include "Placement/EngineCost.h"
#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// A request names at most 16 helpers beside the engine that answers.
constexpr std::uint32_t maxParts = 17;
// Shares of a limit that estimates may use; the rest covers network and waiting times that they leave out.
constexpr double pauseShare = 0.8;
constexpr double comfortableShare = 0.6;
constexpr double targetShare = 0.85;
// A part of a prompt is worth sending to another engine if it takes more than a few steps to read.
constexpr std::uint32_t leastChunksPerPart = 4;
// Mean time that engines may still read while a prompt beyond one engine's memory is begun.
constexpr std::chrono::milliseconds calmBacklog{60};
// An engine helps one prompt at a time, because the part that came last is read first, and none while it reads a longer part than this for an answer
// of its own, which would wait as well.
constexpr std::chrono::milliseconds delayableRead{100};
// Connecting, sending and forwarding.
constexpr std::chrono::milliseconds networkTime{15};
// Memory is given out in blocks, so a little more than the tokens is taken.
constexpr double usableMemory = 0.97;

// Costs of a choice among engines that all keep the limits; they only rank.
constexpr double tightenCost = 1.0; // The engine would get a shorter pause limit than it has.
constexpr double burdenCost = 1.5; // The engine serves a shorter pause limit than the request needs.
constexpr double otherDataCentreCost = 0.15;
constexpr double fillBonus = 1.2; // Outweighs the data centre and a read more, so that engines opened in a burst empty after it.
constexpr double uncomfortableCost = 1.2; // Opening another engine is better than an estimate near the target.
constexpr double helperCost = 0.01; // Each helper is one engine more whose loss ends the request.

Duration share(Duration duration, double part)
{
    return toDuration(Seconds(duration) * part);
}

double shareOfTarget(const PlacementRequest &placementRequest, Duration estimate)
{
    return Seconds(estimate) / std::max(Seconds(placementRequest.target), Seconds(networkTime));
}

double estimateCost(const PlacementRequest &placementRequest, Duration estimate, Duration comfortable)
{
    return shareOfTarget(placementRequest, estimate) + (estimate > comfortable ? uncomfortableCost : 0);
}

Duration timeToTarget(const PlacementRequest &placementRequest, TimePoint now)
{
    return placementRequest.arrivedAt + placementRequest.target - now;
}

}

EngineSelector::EngineSelector(const EngineSpec &spec)
    : m_spec(spec)
{
}

std::optional<Selection> EngineSelector::select(const PlacementRequest &placementRequest, const Candidates &candidates, TimePoint now) const
{
    const bool late = now >= latestStart(placementRequest);
    const Duration left = late ? Duration(placementRequest.deadline - now) : timeToTarget(placementRequest, now);
    Engines engines;
    engines.reserve(candidates.size());
    for (UpstreamLoad *load : candidates) {
        engines.push_back(describe(placementRequest, *load, now));
    }
    if (exceedsOneEngine(placementRequest) && !isCalm(engines)) {
        return std::nullopt;
    }
    // Engines that serve tighter pause limits come last, then those that are free soonest come first.
    std::stable_sort(engines.begin(), engines.end(), [&](const Engine &left, const Engine &right) {
        const bool leftTighter = left.tightestPause < placementRequest.pauseLimit;
        const bool rightTighter = right.tightestPause < placementRequest.pauseLimit;
        return leftTighter != rightTighter ? rightTighter : left.backlog < right.backlog;
    });
    const Duration acceptable = late ? left : share(left, targetShare);
    const Duration comfortable = share(left, comfortableShare);
    const std::uint32_t mostParts = std::min(usefulParts(placementRequest), static_cast<std::uint32_t>(engines.size()));
    std::optional<Choice> best;
    for (std::uint32_t parts = 1; parts <= mostParts; ++parts) {
        std::optional<Choice> choice
            = parts == 1 ? chooseOne(placementRequest, engines, acceptable, comfortable) : chooseParts(placementRequest, engines, parts, comfortable);
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

Duration EngineSelector::leastServiceTime(const PlacementRequest &placementRequest) const
{
    return prefillTime(m_spec, placementRequest.promptTokens, usefulParts(placementRequest)) + networkTime;
}

Duration EngineSelector::partPrefillTime(const PlacementRequest &placementRequest, std::uint32_t parts) const
{
    return prefillTime(m_spec, placementRequest.promptTokens, parts);
}

// A pass takes about the same time however many requests write in it, so each of them takes its share of the slots.
Duration EngineSelector::workOf(const PlacementRequest &placementRequest) const
{
    const auto passes = static_cast<Duration::rep>(placementRequest.outputTokens / std::max(m_spec.stepsPerIteration, 1U) + 1);
    return prefillTime(m_spec, placementRequest.promptTokens, 1)
        + iterationTime(m_spec, 1, placementRequest.promptTokens) * passes / std::max(m_spec.slots, 1U);
}

bool EngineSelector::needsCalm(const PlacementRequest &placementRequest) const
{
    return exceedsOneEngine(placementRequest);
}

TimePoint EngineSelector::latestStart(const PlacementRequest &placementRequest) const
{
    return placementRequest.arrivedAt + placementRequest.target - leastServiceTime(placementRequest) - iterationTime(m_spec, 1, placementRequest.promptTokens);
}

std::uint32_t EngineSelector::usefulParts(const PlacementRequest &placementRequest) const
{
    const std::uint64_t leastTokens = std::uint64_t{leastChunksPerPart} * m_spec.chunkTokens;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(placementRequest.promptTokens / leastTokens, 1, maxParts));
}

EngineSelector::Engine EngineSelector::describe(const PlacementRequest &placementRequest, UpstreamLoad &load, TimePoint now) const
{
    Engine engine;
    engine.load = &load;
    engine.backlog = load.readBacklog(now, iterationTime(m_spec, load.writers(), load.contextTokens()));
    engine.pass = iterationTime(m_spec, load.requests() + 1, load.contextTokens());
    engine.tightestPause = load.tightestPause();
    const auto usable = static_cast<std::uint64_t>(usableMemory * static_cast<double>(m_spec.memoryTokens));
    engine.freeMemory = usable - std::min(usable, load.memoryTokens());
    engine.hasSlot = load.requests() < std::min(m_spec.slots, load.entry().slots);
    engine.mayHelp = load.helping() == 0 && !load.failures().avoided(now) && load.longestOwnRead() <= delayableRead;
    engine.cost = baseCost(placementRequest, load, now);
    return engine;
}

std::optional<EngineSelector::Choice>
EngineSelector::chooseOne(const PlacementRequest &placementRequest, const Engines &engines, Duration acceptable, Duration comfortable) const
{
    const Duration read = prefillTime(m_spec, placementRequest.promptTokens, 1);
    std::optional<Choice> best;
    for (const Engine &engine : engines) {
        const Duration estimate = firstEventReceived(engine, read);
        if (estimate > acceptable || !hasRoom(engine, placementRequest) || !bearsRead(engine, read, placementRequest.promptTokens)) {
            continue;
        }
        const double cost = engine.cost + estimateCost(placementRequest, estimate, comfortable);
        if (!best || cost < best->cost) {
            best = Choice{Selection{engine.load, {}, {}, read, estimate}, cost};
        }
    }
    return best;
}

std::optional<EngineSelector::Choice>
EngineSelector::chooseParts(const PlacementRequest &placementRequest, const Engines &engines, std::uint32_t parts, Duration comfortable) const
{
    const Duration read = prefillTime(m_spec, placementRequest.promptTokens, parts);
    std::vector<const Engine *> bearing;
    const Engine *primary = nullptr;
    double lowest = 0;
    for (const Engine &engine : engines) {
        if (!engine.mayHelp || !bearsRead(engine, read, placementRequest.promptTokens)) {
            continue;
        }
        bearing.push_back(&engine);
        const double memoryShare = exceedsOneEngine(placementRequest) ? static_cast<double>(engine.freeMemory) / static_cast<double>(m_spec.memoryTokens) : 0;
        const double cost = engine.cost + shareOfTarget(placementRequest, engine.backlog) - memoryShare;
        const bool usable = exceedsOneEngine(placementRequest) ? engine.hasSlot : hasRoom(engine, placementRequest);
        if (usable && (primary == nullptr || cost < lowest)) {
            primary = &engine;
            lowest = cost;
        }
    }
    if (primary == nullptr || bearing.size() < parts) {
        return std::nullopt;
    }
    Selection selection{primary->load, {}, {}, read, firstEventReceived(*primary, read)};
    std::vector<const Engine *> helpers;
    for (const Engine *engine : bearing) {
        if (engine != primary && helpers.size() + 1 < parts) {
            helpers.push_back(engine);
            selection.helpers.push_back(engine->load);
            selection.firstEventEstimate = std::max(selection.firstEventEstimate, firstEventReceived(*engine, read));
        }
    }
    if (exceedsOneEngine(placementRequest) && !divideMemory(placementRequest, *primary, helpers, selection)) {
        return std::nullopt;
    }
    const double cost = primary->cost + estimateCost(placementRequest, selection.firstEventEstimate, comfortable) + helperCost * (parts - 1);
    return Choice{std::move(selection), cost};
}

bool EngineSelector::exceedsOneEngine(const PlacementRequest &placementRequest) const
{
    return static_cast<double>(placementRequest.promptTokens + placementRequest.outputTokens) > usableMemory * static_cast<double>(m_spec.memoryTokens);
}

bool EngineSelector::isCalm(const Engines &engines)
{
    Duration total = Duration::zero();
    for (const Engine &engine : engines) {
        total += engine.backlog;
    }
    return total <= calmBacklog * static_cast<Duration::rep>(engines.size());
}

bool EngineSelector::hasRoom(const Engine &engine, const PlacementRequest &placementRequest) const
{
    return engine.hasSlot && placementRequest.promptTokens + placementRequest.outputTokens <= engine.freeMemory;
}

bool EngineSelector::divideMemory(const PlacementRequest &placementRequest,
                                  const Engine &primary,
                                  const std::vector<const Engine *> &helpers,
                                  Selection &selection) const
{
    std::uint64_t left = placementRequest.promptTokens + placementRequest.outputTokens;
    left -= std::min(left, primary.freeMemory);
    for (const Engine *helper : helpers) {
        const std::uint64_t stored = std::min({left, helper->freeMemory, placementRequest.promptTokens});
        selection.helperMemory.push_back(stored);
        left -= stored;
    }
    return left == 0;
}

// Whether the writers of the engine keep their pause limits when it reads for another `read`.
bool EngineSelector::bearsRead(const Engine &engine, Duration read, std::uint64_t promptTokens) const
{
    if (engine.tightestPause == Duration::max()) {
        return true;
    }
    const std::uint64_t largest = std::max(promptTokens, engine.load->largestReading());
    return engine.pass + longestReadInPass(m_spec, engine.backlog + read, largest) <= share(engine.tightestPause, pauseShare);
}

// With writers the prompt is read inside their passes, and the first piece follows at the end of one.
Duration EngineSelector::firstEventReceived(const Engine &engine, Duration read) const
{
    const Duration waitForPass = engine.load->writers() > 0 ? engine.pass / 2 : Duration::zero();
    return engine.backlog + read + engine.pass + waitForPass + networkTime;
}

double EngineSelector::baseCost(const PlacementRequest &placementRequest, const UpstreamLoad &load, TimePoint now) const
{
    const Duration tightest = load.tightestPause();
    double total = tightest > placementRequest.pauseLimit ? tightenCost : 0;
    total += tightest < placementRequest.pauseLimit ? burdenCost : 0;
    total += load.entry().dataCentre == placementRequest.dataCentre ? 0 : otherDataCentreCost;
    total -= fillBonus * load.requests() / std::max(m_spec.slots, 1U);
    total += load.failures().cost(now);
    return total;
}

}
