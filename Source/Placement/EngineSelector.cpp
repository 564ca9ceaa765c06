#include "Placement/EngineSelector.h"

#include "Placement/Demand.h"
#include "Placement/EngineCost.h"
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
// A part of a prompt is worth sending to another engine if it takes more than two steps to read.
constexpr std::uint32_t leastChunksPerPart = 2;
// Connecting, sending and forwarding.
constexpr std::chrono::milliseconds networkTime{15};
// Memory is given out in blocks, so a little more than the tokens is taken.
constexpr double usableMemory = 0.97;

// Costs of a choice among engines that all keep the limits; they only rank.
constexpr double tightenCost = 1.0; // The engine would get a shorter pause limit than it has.
constexpr double burdenCost = 1.5; // The engine serves a shorter pause limit than the request needs.
constexpr double otherDataCentreCost = 0.15;
constexpr double fillBonus = 0.4;
constexpr double failureCost = 2;
constexpr double avoidedCost = 10;

Duration share(Duration duration, double part)
{
    return toDuration(Seconds(duration) * part);
}

Duration timeToTarget(const Demand &demand, TimePoint now)
{
    return demand.arrivedAt + demand.target - now;
}

}

EngineSelector::EngineSelector(const EngineSpec &spec)
    : m_spec(spec)
{
}

std::optional<Selection> EngineSelector::select(const Demand &demand, const Candidates &candidates, TimePoint now) const
{
    const bool late = now >= latestStart(demand);
    const Duration left = late ? Duration(demand.deadline - now) : timeToTarget(demand, now);
    const Duration comfortable = late ? left : share(left, comfortableShare);
    Engines engines;
    engines.reserve(candidates.size());
    for (UpstreamLoad *load : candidates) {
        engines.push_back(describe(demand, *load, now));
    }
    if (std::optional<Selection> single = selectOne(demand, engines, comfortable)) {
        return single;
    }
    // Engines that serve tighter pause limits come last, then those that are free soonest come first.
    std::stable_sort(engines.begin(), engines.end(), [&](const Engine &left, const Engine &right) {
        const bool leftTighter = left.tightestPause < demand.pauseLimit;
        const bool rightTighter = right.tightestPause < demand.pauseLimit;
        return leftTighter != rightTighter ? rightTighter : left.backlog < right.backlog;
    });
    std::optional<Selection> best;
    const std::uint32_t mostParts = std::min(usefulParts(demand), static_cast<std::uint32_t>(engines.size()));
    for (std::uint32_t parts = 2; parts <= mostParts; ++parts) {
        std::optional<Selection> selection = selectParts(demand, engines, parts);
        if (selection && (!best || selection->firstPieceEstimate < best->firstPieceEstimate)) {
            best = std::move(selection);
        }
        if (best && best->firstPieceEstimate <= comfortable) {
            return best;
        }
    }
    const Duration acceptable = late ? left : share(left, targetShare);
    std::optional<Selection> single = selectOne(demand, engines, acceptable);
    if (best && (!single || best->firstPieceEstimate < single->firstPieceEstimate)) {
        single = std::move(best);
    }
    if (single && single->firstPieceEstimate > acceptable) {
        return std::nullopt;
    }
    return single;
}

Duration EngineSelector::leastServiceTime(const Demand &demand) const
{
    return readTime(m_spec, demand.promptTokens, usefulParts(demand)) + networkTime;
}

TimePoint EngineSelector::latestStart(const Demand &demand) const
{
    return demand.arrivedAt + demand.target - leastServiceTime(demand) - passTime(m_spec, 1, demand.promptTokens);
}

std::uint32_t EngineSelector::usefulParts(const Demand &demand) const
{
    const std::uint64_t leastTokens = std::uint64_t{leastChunksPerPart} * m_spec.chunkTokens;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(demand.promptTokens / leastTokens, 1, maxParts));
}

EngineSelector::Engine EngineSelector::describe(const Demand &demand, UpstreamLoad &load, TimePoint now) const
{
    Engine engine;
    engine.load = &load;
    engine.backlog = load.readBacklog(now, passTime(m_spec, load.writers(), load.contextTokens()));
    engine.pass = passTime(m_spec, load.requests() + 1, load.contextTokens());
    engine.tightestPause = load.tightestPause();
    const auto memory = static_cast<double>(load.memoryTokens() + demand.promptTokens + demand.outputTokens);
    engine.hasRoom = load.requests() < std::min(m_spec.slots, load.entry().slots) && memory <= usableMemory * static_cast<double>(m_spec.memoryTokens);
    engine.mayHelp = load.helping() < m_spec.slots && !load.failures().avoided(now);
    engine.cost = baseCost(demand, load, now);
    return engine;
}

std::optional<Selection> EngineSelector::selectOne(const Demand &demand, const Engines &engines, Duration limit) const
{
    const Duration read = readTime(m_spec, demand.promptTokens, 1);
    const Seconds unit = std::max(Seconds(demand.target), Seconds(networkTime));
    const Engine *best = nullptr;
    double lowest = 0;
    for (const Engine &engine : engines) {
        const Duration estimate = firstPiece(engine, read);
        if (estimate > limit || !engine.hasRoom || !bearsRead(engine, read, demand.promptTokens)) {
            continue;
        }
        const double cost = engine.cost + Seconds(estimate) / unit;
        if (best == nullptr || cost < lowest) {
            best = &engine;
            lowest = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Selection{best->load, {}, read, firstPiece(*best, read)};
}

std::optional<Selection> EngineSelector::selectParts(const Demand &demand, const Engines &engines, std::uint32_t parts) const
{
    const Duration read = readTime(m_spec, demand.promptTokens, parts);
    const Seconds unit = std::max(Seconds(demand.target), Seconds(networkTime));
    std::vector<const Engine *> bearing;
    const Engine *primary = nullptr;
    double lowest = 0;
    for (const Engine &engine : engines) {
        if (!engine.mayHelp || !bearsRead(engine, read, demand.promptTokens)) {
            continue;
        }
        bearing.push_back(&engine);
        const double cost = engine.cost + Seconds(engine.backlog) / unit;
        if (engine.hasRoom && (primary == nullptr || cost < lowest)) {
            primary = &engine;
            lowest = cost;
        }
    }
    if (primary == nullptr || bearing.size() < parts) {
        return std::nullopt;
    }
    Selection selection{primary->load, {}, read, firstPiece(*primary, read)};
    for (const Engine *engine : bearing) {
        if (engine != primary && selection.helpers.size() + 1 < parts) {
            selection.helpers.push_back(engine->load);
            selection.firstPieceEstimate = std::max(selection.firstPieceEstimate, firstPiece(*engine, read));
        }
    }
    return selection;
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
Duration EngineSelector::firstPiece(const Engine &engine, Duration read) const
{
    const Duration waitForPass = engine.load->writers() > 0 ? engine.pass / 2 : Duration::zero();
    return engine.backlog + read + engine.pass + waitForPass + networkTime;
}

double EngineSelector::baseCost(const Demand &demand, const UpstreamLoad &load, TimePoint now) const
{
    const Duration tightest = load.tightestPause();
    double total = tightest > demand.pauseLimit ? tightenCost : 0;
    total += tightest < demand.pauseLimit ? burdenCost : 0;
    total += load.entry().dataCentre == demand.dataCentre ? 0 : otherDataCentreCost;
    total -= fillBonus * load.requests() / std::max(m_spec.slots, 1U);
    total += load.failures().failureShare() * failureCost;
    total += load.failures().avoided(now) ? avoidedCost : 0;
    return total;
}

}
