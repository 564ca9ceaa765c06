#include "Placement/SuspectState.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <iterator>

namespace Mangofall::Placement {

namespace {

// Bound the memory that a suspect takes and the size of messages.
constexpr std::size_t maxCrashes = 32;
constexpr std::size_t maxCleared = 64;

// All hosts keep the smallest, so that merging stays independent of the order.
std::vector<CrashId> unite(const std::vector<CrashId> &left, const std::vector<CrashId> &right, std::size_t limit)
{
    std::vector<CrashId> result;
    std::set_union(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
    result.resize(std::min(result.size(), limit));
    return result;
}

std::vector<CrashId> subtract(const std::vector<CrashId> &from, const std::vector<CrashId> &removed)
{
    std::vector<CrashId> result;
    std::set_difference(from.begin(), from.end(), removed.begin(), removed.end(), std::back_inserter(result));
    return result;
}

}

void SuspectState::addCrash(CrashId crash)
{
    crashes = subtract(unite(crashes, {crash}, maxCrashes), cleared);
}

void SuspectState::clear()
{
    cleared = unite(cleared, crashes, maxCleared);
    crashes.clear();
    clearedTrials = trials;
}

void SuspectState::merge(const SuspectState &other)
{
    cleared = unite(cleared, other.cleared, maxCleared);
    crashes = unite(subtract(crashes, cleared), subtract(other.crashes, cleared), maxCrashes);
    trials = std::max(trials, other.trials);
    clearedTrials = std::max(clearedTrials, other.clearedTrials);
}

bool SuspectState::refutes(const SuspectState &other) const
{
    return std::any_of(other.crashes.begin(), other.crashes.end(), [&](CrashId crash) {
        return std::binary_search(cleared.begin(), cleared.end(), crash);
    });
}

std::string suspectName(SuspectId suspect)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, suspect);
    return text.data();
}

}
