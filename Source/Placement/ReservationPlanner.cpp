#include "Placement/ReservationPlanner.h"

#include "Placement/EngineCost.h"
#include "Placement/EngineRules.h"
#include "Placement/PlacementRequest.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Answers are about half as long as their longest length allows.
constexpr double usualAnswerShare = 0.5;

std::uint64_t tokensOf(const PlacementRequest &request)
{
    return request.promptTokens + request.outputTokens;
}

enum class Usefulness {
    Unanswered,
    Late,
    OnTime,
};

Usefulness usefulnessOf(const PlacementRequest &request, const ReservationPlan &plan)
{
    if (plan.onTime) {
        return Usefulness::OnTime;
    }
    return plan.answerEnd <= request.deadline ? Usefulness::Late : Usefulness::Unanswered;
}

bool isBetter(const PlacementRequest &request, const ReservationPlan &plan, const ReservationPlan &best)
{
    const Usefulness usefulness = usefulnessOf(request, plan);
    const Usefulness bestUsefulness = usefulnessOf(request, best);
    if (usefulness != bestUsefulness) {
        return usefulness > bestUsefulness;
    }
    return usefulness == Usefulness::Unanswered ? plan.firstEvent < best.firstEvent : plan.engines.size() < best.engines.size();
}

}

ReservationPlanner::ReservationPlanner(const EngineSpec &spec)
    : m_spec(spec)
{
}

std::optional<ReservationPlan> ReservationPlanner::plan(const PlacementRequest &request, const Forecasts &forecasts, const PlanBounds &bounds) const
{
    const std::uint64_t memory = std::max<std::uint64_t>(usableMemory(m_spec), 1);
    const auto forMemory = static_cast<std::uint32_t>((tokensOf(request) + memory - 1) / memory);
    const auto most = static_cast<std::uint32_t>(std::min<std::size_t>({maxUsefulParts(m_spec, request.promptTokens), bounds.most, forecasts.size()}));
    const std::uint32_t forParts = bounds.longParts ? 2 : leastParts(m_spec, request.promptTokens);
    std::optional<ReservationPlan> best;
    for (std::uint32_t parts = std::max({forMemory, forParts, 2U}); parts <= most; ++parts) {
        std::optional<ReservationPlan> candidate = planParts(request, forecasts, parts);
        if (candidate && (!best || isBetter(request, *candidate, *best))) {
            best = std::move(candidate);
        }
    }
    return best;
}

std::optional<ReservationPlan>
ReservationPlanner::planWith(const PlacementRequest &request, const Forecasts &forecasts, const std::vector<std::size_t> &indices) const
{
    const Duration partPrefill = prefillTime(m_spec, request.promptTokens, static_cast<std::uint32_t>(indices.size()));
    TimePoint start;
    for (const std::size_t index : indices) {
        start = std::max(start, forecasts[index].availableFrom(partPrefill));
    }
    return complete(request, forecasts, indices, start);
}

void ReservationPlanner::add(const PlacementRequest &request, const ReservationPlan &plan, Forecasts &forecasts) const
{
    ForecastTask task;
    task.prefillEnd = plan.start + plan.partPrefill;
    task.end = plan.answerEnd;
    task.prefillTime = plan.partPrefill;
    task.pauseLimit = request.pauseLimit;
    for (const PlannedEngine &engine : plan.engines) {
        task.answers = &engine == &plan.engines.front();
        task.memoryTokens = engine.memoryTokens;
        forecasts[engine.index].add(task);
    }
}

// Takes the engines that are available first. If they lack memory, later ones are added, and those with the most free memory are taken.
std::optional<ReservationPlan> ReservationPlanner::planParts(const PlacementRequest &request, const Forecasts &forecasts, std::uint32_t parts) const
{
    const Duration partPrefill = prefillTime(m_spec, request.promptTokens, parts);
    std::vector<Available> available;
    available.reserve(forecasts.size());
    for (std::size_t index = 0; index < forecasts.size(); ++index) {
        if (forecasts[index].accepts(request)) {
            available.push_back({forecasts[index].availableFrom(partPrefill), index});
        }
    }
    std::sort(available.begin(), available.end(), [](const Available &left, const Available &right) {
        return left.from != right.from ? left.from < right.from : left.index < right.index;
    });
    for (std::size_t count = parts; count <= available.size(); ++count) {
        const TimePoint start = available[count - 1].from;
        if (count < available.size() && available[count].from == start) {
            continue;
        }
        std::vector<std::pair<std::uint64_t, std::size_t>> byMemory;
        for (std::size_t position = 0; position < count; ++position) {
            byMemory.emplace_back(forecasts[available[position].index].freeMemory(start), available[position].index);
        }
        std::stable_sort(byMemory.begin(), byMemory.end(), [](const auto &left, const auto &right) {
            return left.first > right.first;
        });
        std::vector<std::size_t> indices;
        for (std::size_t position = 0; position < parts; ++position) {
            indices.push_back(byMemory[position].second);
        }
        if (std::optional<ReservationPlan> plan = complete(request, forecasts, std::move(indices), start)) {
            return plan;
        }
    }
    return std::nullopt;
}

std::optional<ReservationPlan>
ReservationPlanner::complete(const PlacementRequest &request, const Forecasts &forecasts, std::vector<std::size_t> indices, TimePoint start) const
{
    const auto primary = std::find_if(indices.begin(), indices.end(), [&](std::size_t index) {
        return forecasts[index].hasSlot(start);
    });
    if (primary == indices.end()) {
        return std::nullopt;
    }
    std::rotate(indices.begin(), primary, primary + 1);
    ReservationPlan plan;
    std::uint64_t remaining = tokensOf(request);
    for (const std::size_t index : indices) {
        const std::uint64_t stored = std::min(remaining, forecasts[index].freeMemory(start));
        plan.engines.push_back({index, stored});
        remaining -= stored;
    }
    if (remaining > 0) {
        return std::nullopt;
    }
    plan.start = start;
    plan.partPrefill = prefillTime(m_spec, request.promptTokens, static_cast<std::uint32_t>(indices.size()));
    const Duration estimate = plan.partPrefill + iterationTime(m_spec, 1, request.promptTokens) + engineNetworkTime;
    plan.firstEvent = start + estimate;
    const Duration longestAnswer = answerTime(m_spec, request.outputTokens, iterationTime(m_spec, 1, request.promptTokens));
    plan.answerEnd = plan.firstEvent + toDuration(Seconds(longestAnswer) * usualAnswerShare);
    plan.onTime = Seconds(estimate) <= Seconds(request.arrivedAt + request.target - start) * usableTargetShare;
    return plan;
}

}
