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

Selection makeSelection(UpstreamLoad *primary, std::vector<UpstreamLoad *> helpers, Duration read, Duration estimate)
{
    return Selection{primary, std::move(helpers), read, estimate};
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
    if (std::optional<Selection> single = selectOne(demand, candidates, comfortable, now)) {
        return single;
    }
    std::optional<Selection> best;
    const auto engines = static_cast<std::uint32_t>(candidates.size());
    for (std::uint32_t parts = 2; parts <= std::min(maxParts, engines); ++parts) {
        std::optional<Selection> selection = selectParts(demand, candidates, parts, now);
        if (selection && (!best || selection->firstPieceEstimate < best->firstPieceEstimate)) {
            best = std::move(selection);
        }
        if (best && best->firstPieceEstimate <= comfortable) {
            return best;
        }
    }
    const Duration acceptable = late ? left : share(left, targetShare);
    std::optional<Selection> single = selectOne(demand, candidates, acceptable, now);
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
    return readTime(m_spec, demand.promptTokens, maxParts) + networkTime;
}

TimePoint EngineSelector::latestStart(const Demand &demand) const
{
    return demand.arrivedAt + demand.target - leastServiceTime(demand) - passTime(m_spec, 1, demand.promptTokens);
}

std::optional<Selection> EngineSelector::selectOne(const Demand &demand, const Candidates &candidates, Duration limit, TimePoint now) const
{
    const Duration read = readTime(m_spec, demand.promptTokens, 1);
    UpstreamLoad *best = nullptr;
    double lowest = 0;
    for (UpstreamLoad *load : candidates) {
        const Duration estimate = firstPiece(*load, read, now);
        if (estimate > limit || !hasRoom(*load, demand) || !bearsRead(*load, read, demand.promptTokens, now)) {
            continue;
        }
        const double candidateCost = cost(demand, *load, estimate, now);
        if (best == nullptr || candidateCost < lowest) {
            best = load;
            lowest = candidateCost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return makeSelection(best, {}, read, firstPiece(*best, read, now));
}

std::optional<Selection> EngineSelector::selectParts(const Demand &demand, const Candidates &candidates, std::uint32_t parts, TimePoint now) const
{
    const Duration read = readTime(m_spec, demand.promptTokens, parts);
    Candidates bearing;
    for (UpstreamLoad *load : candidates) {
        if (load->helping() < m_spec.slots && !load->failures().avoided(now) && bearsRead(*load, read, demand.promptTokens, now)) {
            bearing.push_back(load);
        }
    }
    // Engines that serve tighter pause limits come last, then those that are free soonest come first.
    std::stable_sort(bearing.begin(), bearing.end(), [&](const UpstreamLoad *left, const UpstreamLoad *right) {
        const bool leftTighter = left->tightestPause() < demand.pauseLimit;
        const bool rightTighter = right->tightestPause() < demand.pauseLimit;
        return leftTighter != rightTighter ? rightTighter : left->readBacklog(now) < right->readBacklog(now);
    });
    UpstreamLoad *primary = nullptr;
    for (UpstreamLoad *load : bearing) {
        if (hasRoom(*load, demand)
            && (primary == nullptr || cost(demand, *load, load->readBacklog(now), now) < cost(demand, *primary, primary->readBacklog(now), now))) {
            primary = load;
        }
    }
    if (primary == nullptr || bearing.size() < parts) {
        return std::nullopt;
    }
    std::vector<UpstreamLoad *> helpers;
    Duration estimate = firstPiece(*primary, read, now);
    for (UpstreamLoad *load : bearing) {
        if (load != primary && helpers.size() + 1 < parts) {
            helpers.push_back(load);
            estimate = std::max(estimate, firstPiece(*load, read, now));
        }
    }
    return makeSelection(primary, std::move(helpers), read, estimate);
}

// Whether the writers of the engine keep their pause limits when it reads for another `read`.
bool EngineSelector::bearsRead(const UpstreamLoad &load, Duration read, std::uint64_t promptTokens, TimePoint now) const
{
    const Duration tightest = load.tightestPause();
    if (tightest == Duration::max()) {
        return true;
    }
    const std::uint64_t largest = std::max(promptTokens, load.largestReading());
    const Duration pause = passTime(m_spec, load.requests() + 1, load.contextTokens()) + longestReadInPass(m_spec, load.readBacklog(now) + read, largest);
    return pause <= share(tightest, pauseShare);
}

bool EngineSelector::hasRoom(const UpstreamLoad &load, const Demand &demand) const
{
    const auto needed = static_cast<double>(load.memoryTokens() + demand.promptTokens + demand.outputTokens);
    return load.requests() < std::min(m_spec.slots, load.entry().slots) && needed <= usableMemory * static_cast<double>(m_spec.memoryTokens);
}

// With writers the prompt is read inside their passes, and the first piece follows at the end of one.
Duration EngineSelector::firstPiece(const UpstreamLoad &load, Duration read, TimePoint now) const
{
    const Duration pass = passTime(m_spec, load.requests() + 1, load.contextTokens());
    const Duration waitForPass = load.writers() > 0 ? pass / 2 : Duration::zero();
    return load.readBacklog(now) + read + pass + waitForPass + networkTime;
}

double EngineSelector::cost(const Demand &demand, const UpstreamLoad &load, Duration estimate, TimePoint now) const
{
    const Duration tightest = load.tightestPause();
    double total = Seconds(estimate) / std::max(Seconds(demand.target), Seconds(networkTime));
    total += tightest > demand.pauseLimit ? tightenCost : 0;
    total += tightest < demand.pauseLimit ? burdenCost : 0;
    total += load.entry().dataCentre == demand.dataCentre ? 0 : otherDataCentreCost;
    total -= fillBonus * load.requests() / std::max(m_spec.slots, 1U);
    total += load.failures().failureShare() * failureCost;
    total += load.failures().avoided(now) ? avoidedCost : 0;
    return total;
}

}
