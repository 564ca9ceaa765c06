#include "Admission/DispatchQueue.h"

#include <algorithm>

namespace Mangofall {

namespace {

// Fixed cost of a request in tokens, so that empty prompts count against the share of their organisation.
constexpr double requestCost = 256;
constexpr double minWeight = 1e-3;

struct QueueUsage {
    std::size_t count = 0;
    double weight = 1;
    const QueuedAttempt *newest = nullptr;
};

bool isNewer(const QueuedAttempt &left, const QueuedAttempt &right)
{
    return left.arrival != right.arrival ? left.arrival > right.arrival : left.attempt.sequence > right.attempt.sequence;
}

}

DispatchQueue::DispatchQueue(std::size_t limit)
    : m_limit(limit)
{
}

void DispatchQueue::setLimit(std::size_t limit)
{
    m_limit = limit;
}

bool DispatchQueue::full() const
{
    return m_index.size() >= m_limit;
}

std::size_t DispatchQueue::size() const
{
    return m_index.size();
}

std::size_t DispatchQueue::size(LengthClass lengthClass) const
{
    return m_lanes[indexOf(lengthClass)].lane.size();
}

bool DispatchQueue::contains(const AttemptId &attempt) const
{
    return m_index.contains(attempt);
}

std::uint64_t DispatchQueue::tokens(LengthClass lengthClass) const
{
    return m_lanes[indexOf(lengthClass)].tokens;
}

void DispatchQueue::push(const QueuedAttempt &attempt)
{
    LaneState &state = m_lanes[indexOf(attempt.lengthClass)];
    const double finish = virtualFinishTime(state, attempt);
    state.lastFinish[attempt.organisation] = finish;
    state.tokens += attempt.uncachedTokens;
    m_index[attempt.attempt] = {attempt.lengthClass, state.lane.emplace(finish, attempt)};
}

const QueuedAttempt *DispatchQueue::front(LengthClass lengthClass, std::uint64_t maxTokens) const
{
    for (const auto &[finish, attempt] : m_lanes[indexOf(lengthClass)].lane) {
        if (attempt.uncachedTokens <= maxTokens) {
            return &attempt;
        }
    }
    return nullptr;
}

std::optional<QueuedAttempt> DispatchQueue::take(const AttemptId &attempt)
{
    return erase(attempt, true);
}

std::optional<QueuedAttempt> DispatchQueue::remove(const AttemptId &attempt)
{
    return erase(attempt, false);
}

std::vector<const QueuedAttempt *> DispatchQueue::inOrder() const
{
    std::vector<const QueuedAttempt *> attempts;
    attempts.reserve(m_index.size());
    for (const LaneState &state : m_lanes) {
        for (const auto &[finish, attempt] : state.lane) {
            attempts.push_back(&attempt);
        }
    }
    return attempts;
}

std::pair<std::size_t, std::uint64_t> DispatchQueue::aheadInLane(const QueuedAttempt &attempt) const
{
    const LaneState &state = m_lanes[indexOf(attempt.lengthClass)];
    const auto end = state.lane.upper_bound(virtualFinishTime(state, attempt));
    std::pair<std::size_t, std::uint64_t> ahead{0, 0};
    for (auto entry = state.lane.begin(); entry != end; ++entry) {
        ++ahead.first;
        ahead.second += entry->second.uncachedTokens;
    }
    return ahead;
}

std::optional<AttemptId> DispatchQueue::findEvictionCandidate(const QueuedAttempt &incoming) const
{
    std::unordered_map<OrganisationId, QueueUsage> usages;
    usages[incoming.organisation].weight = std::max(incoming.weight, minWeight);
    for (const QueuedAttempt *attempt : inOrder()) {
        QueueUsage &usage = usages[attempt->organisation];
        ++usage.count;
        usage.weight = std::max(attempt->weight, minWeight);
        if (usage.newest == nullptr || isNewer(*attempt, *usage.newest)) {
            usage.newest = attempt;
        }
    }
    double weights = 0;
    const QueueUsage *largest = nullptr;
    for (const auto &[organisation, usage] : usages) {
        weights += usage.weight;
        const double load = static_cast<double>(usage.count) / usage.weight;
        const double largestLoad = largest == nullptr ? 0 : static_cast<double>(largest->count) / largest->weight;
        // Equal loads are ordered by arrival, so that the result does not depend on the order of the hash table.
        if (usage.newest != nullptr && (load > largestLoad || (load == largestLoad && isNewer(*usage.newest, *largest->newest)))) {
            largest = &usage;
        }
    }
    const QueueUsage &own = usages[incoming.organisation];
    const double share = static_cast<double>(m_limit) * own.weight / weights;
    if (largest == nullptr || largest == &own || static_cast<double>(own.count + 1) > share) {
        return std::nullopt;
    }
    return largest->newest->attempt;
}

double DispatchQueue::virtualFinishTime(const LaneState &state, const QueuedAttempt &attempt)
{
    const auto last = state.lastFinish.find(attempt.organisation);
    const double start = last == state.lastFinish.end() ? state.virtualTime : std::max(state.virtualTime, last->second);
    return start + (static_cast<double>(attempt.uncachedTokens) + requestCost) / std::max(attempt.weight, minWeight);
}

std::optional<QueuedAttempt> DispatchQueue::erase(const AttemptId &attempt, bool served)
{
    const auto position = m_index.find(attempt);
    if (position == m_index.end()) {
        return std::nullopt;
    }
    LaneState &state = m_lanes[indexOf(position->second.first)];
    const auto entry = position->second.second;
    const QueuedAttempt removed = entry->second;
    if (served) {
        state.virtualTime = std::max(state.virtualTime, entry->first);
    }
    state.tokens -= removed.uncachedTokens;
    state.lane.erase(entry);
    m_index.erase(position);
    if (state.lane.empty()) {
        // No organisation has a backlog in an empty lane, so fairness starts anew. This also bounds the table of organisations.
        state.virtualTime = 0;
        state.lastFinish.clear();
    }
    return removed;
}

}
