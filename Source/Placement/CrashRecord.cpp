#include "Placement/CrashRecord.h"

#include "Base/Hash.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Crashes without a success in between after which a suspect is held.
constexpr std::size_t heldCrashes = 3;
constexpr std::size_t maxEntries = 10'000;
constexpr std::size_t evictionDivisor = 10;
// Bounds what each host sends to each new owner beside the suspects that are held.
constexpr std::size_t maxStates = 1000;
constexpr std::chrono::minutes expiryInterval{1};
// An upstream that crashed has restarted after this time, even if its list entry does not tell.
constexpr std::chrono::seconds restartTime{3};
constexpr std::chrono::milliseconds firstTrialPause{1500};
// With this factor at most two tests come within a minute and four within a quarter of an hour.
constexpr int trialPauseFactor = 8;
constexpr std::chrono::minutes longestTrialPause{15};
// Longer than the longest pause, so that a suspect whose requests still come is tested rather than forgotten.
constexpr std::chrono::minutes retention{20};
// A test by a request that others explain takes about as long as its prefill.
constexpr std::chrono::milliseconds exonerationPause{250};
constexpr std::uint32_t maxExonerations = 5;
// Fewer for crashes that are only explained by others of the same moment, which may have come together by chance.
constexpr std::uint32_t maxMomentExonerations = 2;
// Tests of different suspects keep this distance, because they may run at the same upstream: a harmful one would end the test of a sound one with its own.
constexpr std::chrono::milliseconds testGap{500};
// A request with several held suspects tests none of them by itself; those with one go first.
constexpr std::chrono::milliseconds jointTestDelay{500};
// Connections that end within this time of each other have one cause, such as a machine, a rack or a link, that is not a prompt.
constexpr std::chrono::milliseconds crashMoment{100};
// The same for a suspect with which requests have ended well lately.
constexpr std::chrono::milliseconds soundCrashMoment{500};

Duration trialPause(std::uint32_t trials)
{
    Duration pause = firstTrialPause;
    for (std::uint32_t trial = 0; trial < trials && pause < longestTrialPause; ++trial) {
        pause *= trialPauseFactor;
    }
    return std::min<Duration>(pause, longestTrialPause);
}

CrashId nextCrash(CrashId crash)
{
    return hash64("crash after " + std::to_string(crash));
}

}

void CrashRecord::recordCrash(const Suspects &suspects, const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt, TimePoint now)
{
    if (const std::optional<CrashId> crash = crashOf(upstream, start, sentAt)) {
        countCrash(*crash, suspects, Duration::zero(), now);
    }
}

void CrashRecord::recordCrashOfParts(const Suspects &parts, const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt, TimePoint now)
{
    if (const std::optional<CrashId> crash = crashOf(upstream, start, sentAt)) {
        countCrash(*crash, parts, crashMoment, now);
    }
}

void CrashRecord::countCrash(CrashId crash, const Suspects &suspects, Duration moment, TimePoint now)
{
    m_crashes.try_emplace(crash, KnownCrash{now, true});
    for (const SuspectId suspect : suspects) {
        Entry &entry = entryFor(suspect, now);
        if (entry.lastCrash && now < *entry.lastCrash + moment) {
            continue;
        }
        const SuspectState before = entry.state;
        entry.state.addCrash(crash);
        if (entry.state != before) {
            entry.lastCrash = now;
            entry.crashedSinceTest = entry.exonerations > 0;
            changed(entry, true, now);
        }
    }
}

void CrashRecord::recordSuccess(const Suspects &parts, TimePoint now)
{
    for (const SuspectId part : parts) {
        m_sound.add(part, now);
        recordRequestSuccess(part, now);
    }
}

void CrashRecord::recordRequestSuccess(SuspectId fingerprint, TimePoint now)
{
    const auto position = m_entries.find(fingerprint);
    if (position != m_entries.end()) {
        clear(position->second, now);
    } else {
        m_evicted.take(fingerprint);
    }
}

void CrashRecord::recordBegin(const Suspects &suspects, TimePoint now)
{
    if (m_held.empty()) {
        return;
    }
    const CrashExplanation others = crashesOfOthers(suspects);
    for (const SuspectId suspect : suspects) {
        const auto position = m_entries.find(suspect);
        if (position != m_entries.end() && isExplained(position->second, others, Explanation::SameCrash)) {
            clear(position->second, now);
        }
    }
}

CrashVerdict CrashRecord::check(const Suspects &suspects, TimePoint now) const
{
    const std::vector<const Entry *> held = heldEntries(suspects);
    if (held.empty()) {
        return {};
    }
    const bool explained = explainedByOthers(held, suspects);
    TimePoint due;
    for (const Entry *entry : held) {
        due = std::max(due, explained ? entry->nextExoneration : entry->nextTrial);
    }
    due = std::max(due + (held.size() > 1 && !explained ? jointTestDelay : Duration::zero()), earliestTest(explained));
    return due <= now ? CrashVerdict{CrashStanding::TrialDue, {}} : CrashVerdict{CrashStanding::Held, due - now};
}

TimePoint CrashRecord::earliestTest(bool explained) const
{
    const TimePoint last = explained ? m_lastTrial : std::max(m_lastTrial, m_lastExoneration);
    return last == TimePoint() ? last : last + testGap;
}

CrashRecord::TrialGround CrashRecord::startTrial(const Suspects &suspects, TimePoint now)
{
    const std::vector<const Entry *> held = heldEntries(suspects);
    const bool explained = explainedByOthers(held, suspects);
    (explained ? m_lastExoneration : m_lastTrial) = now;
    for (const Entry *heldEntry : held) {
        Entry &entry = m_entries.at(heldEntry->state.suspect);
        if (explained) {
            ++entry.exonerations;
            entry.nextExoneration = now + exonerationPause;
            continue;
        }
        ++entry.state.trials;
        changed(entry, true, now);
    }
    return explained ? TrialGround::Explained : TrialGround::Pause;
}

void CrashRecord::returnTrial(const Suspects &suspects, TrialGround ground, TimePoint now)
{
    for (const Entry *heldEntry : heldEntries(suspects)) {
        Entry &entry = m_entries.at(heldEntry->state.suspect);
        if (ground == TrialGround::Explained) {
            entry.exonerations -= entry.exonerations > 0 ? 1 : 0;
        } else if (entry.state.clearedTrials < entry.state.trials) {
            ++entry.state.clearedTrials;
            changed(entry, true, now);
        }
    }
}

SuspectState CrashRecord::merge(const SuspectState &other, TimePoint now)
{
    Entry &entry = entryFor(other.suspect, now);
    const SuspectState before = entry.state;
    entry.state.merge(other);
    if (entry.state.trials > before.trials && !before.crashes.empty()) {
        m_lastTrial = now;
    }
    // Several crashes that become known together, as from a host that has just connected, did not happen now.
    const auto unknown = std::count_if(other.crashes.begin(), other.crashes.end(), [this](CrashId crash) {
        return !m_crashes.contains(crash);
    });
    for (const CrashId crash : other.crashes) {
        m_crashes.try_emplace(crash, KnownCrash{now, unknown == 1});
    }
    if (entry.state != before) {
        entry.crashedSinceTest = entry.crashedSinceTest || (entry.exonerations > 0 && entry.state.crashes.size() > before.crashes.size());
        changed(entry, false, now);
    }
    return entry.state;
}

std::vector<CrashRecord::Change> CrashRecord::takeChanges()
{
    std::vector<Change> changes;
    for (const auto &[suspect, flags] : m_changes) {
        const auto position = m_entries.find(suspect);
        if (position != m_entries.end()) {
            changes.push_back({position->second.state, flags.local, flags.concernsAll});
        }
    }
    m_changes.clear();
    return changes;
}

std::vector<SuspectState> CrashRecord::states(TimePoint now) const
{
    std::vector<SuspectState> result;
    for (const auto &[suspect, entry] : m_entries) {
        if (!entry.state.crashes.empty() && isRecent(entry, now)) {
            result.push_back(entry.state);
        }
    }
    if (result.size() > maxStates) {
        const auto firstOther = std::stable_partition(result.begin(), result.end(), [&](const SuspectState &state) {
            return m_held.contains(state.suspect);
        });
        std::stable_sort(firstOther, result.end(), [](const SuspectState &left, const SuspectState &right) {
            return left.crashes.size() > right.crashes.size();
        });
        result.resize(std::max(maxStates, static_cast<std::size_t>(firstOther - result.begin())));
    }
    return result;
}

void CrashRecord::expire(TimePoint now)
{
    if (now < m_expiredAt + expiryInterval) {
        return;
    }
    m_expiredAt = now;
    std::erase_if(m_crashes, [&](const auto &crash) {
        return crash.second.at + retention < now;
    });
    std::erase_if(m_entries, [&](const auto &entry) {
        return !isRecent(entry.second, now);
    });
    std::erase_if(m_held, [&](SuspectId suspect) {
        return !m_entries.contains(suspect);
    });
}

std::size_t CrashRecord::heldCount() const
{
    return m_held.size();
}

// Requests that were under way when the upstream crashed share its crash. A later crash of an upstream that restarted under the same id and start has the
// next id of a chain, which each host derives in the same way.
std::optional<CrashId> CrashRecord::crashOf(const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt) const
{
    CrashId crash = hash64(upstream.value() + '\n' + std::to_string(start));
    for (auto known = m_crashes.find(crash); known != m_crashes.end() && known->second.at < sentAt; known = m_crashes.find(crash)) {
        if (sentAt < known->second.at + restartTime) {
            return std::nullopt;
        }
        crash = nextCrash(crash);
    }
    return crash;
}

std::vector<const CrashRecord::Entry *> CrashRecord::heldEntries(const Suspects &suspects) const
{
    std::vector<const Entry *> held;
    if (m_held.empty()) {
        return held;
    }
    std::vector<SuspectId> common;
    if (m_held.size() < suspects.size()) {
        std::copy_if(m_held.begin(), m_held.end(), std::back_inserter(common), [&](SuspectId suspect) {
            return std::binary_search(suspects.begin(), suspects.end(), suspect);
        });
    } else {
        std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(common), [&](SuspectId suspect) {
            return m_held.contains(suspect);
        });
    }
    std::transform(common.begin(), common.end(), std::back_inserter(held), [&](SuspectId suspect) {
        return &m_entries.at(suspect);
    });
    return held;
}

CrashExplanation CrashRecord::crashesOfOthers(const Suspects &suspects) const
{
    std::vector<CrashId> crashes;
    for (const SuspectId held : m_held) {
        if (!std::binary_search(suspects.begin(), suspects.end(), held)) {
            const std::vector<CrashId> &added = m_entries.at(held).state.crashes;
            crashes.insert(crashes.end(), added.begin(), added.end());
        }
    }
    std::sort(crashes.begin(), crashes.end());
    crashes.erase(std::unique(crashes.begin(), crashes.end()), crashes.end());
    std::vector<TimePoint> times;
    for (const CrashId crash : crashes) {
        if (const std::optional<TimePoint> time = timeOf(crash)) {
            times.push_back(*time);
        }
    }
    return {std::move(crashes), std::move(times)};
}

bool CrashRecord::explainedByOthers(const std::vector<const Entry *> &held, const Suspects &suspects) const
{
    const CrashExplanation others = crashesOfOthers(suspects);
    return std::all_of(held.begin(), held.end(), [&](const Entry *entry) {
        const bool byMoment = entry->exonerations < maxMomentExonerations && !entry->crashedSinceTest;
        const Explanation explanation = byMoment ? Explanation::SameMoment : Explanation::SameCrash;
        return entry->exonerations < maxExonerations && isExplained(*entry, others, explanation);
    });
}

// Of the crashes that a host sees at one moment only the first counts against a part, so that of two parts of one request each may have another one counted.
bool CrashRecord::isExplained(const Entry &entry, const CrashExplanation &others, Explanation explanation) const
{
    const std::vector<CrashId> &crashes = entry.state.crashes;
    return std::all_of(crashes.begin(), crashes.end(), [&](CrashId crash) {
        if (others.includes(crash)) {
            return true;
        }
        const std::optional<TimePoint> time = explanation == Explanation::SameMoment ? timeOf(crash) : std::nullopt;
        return time && others.includesMoment(*time, crashMoment);
    });
}

std::optional<TimePoint> CrashRecord::timeOf(CrashId crash) const
{
    const auto known = m_crashes.find(crash);
    return known != m_crashes.end() && known->second.timeKnown ? std::optional(known->second.at) : std::nullopt;
}

std::size_t CrashRecord::countedCrashes(const SuspectState &state, TimePoint now) const
{
    if (state.crashes.size() < heldCrashes || !m_sound.contains(state.suspect, now)) {
        return state.crashes.size();
    }
    std::vector<TimePoint> times;
    for (const CrashId crash : state.crashes) {
        const auto known = m_crashes.find(crash);
        times.push_back(known == m_crashes.end() ? now : known->second.at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    TimePoint momentEnd;
    for (const TimePoint time : times) {
        if (count == 0 || time >= momentEnd) {
            ++count;
            momentEnd = time + soundCrashMoment;
        }
    }
    return count;
}

void CrashRecord::clear(Entry &entry, TimePoint now)
{
    if (!entry.state.crashes.empty()) {
        entry.state.clear();
        changed(entry, true, now);
    }
}

CrashRecord::Entry &CrashRecord::entryFor(SuspectId suspect, TimePoint now)
{
    expire(now);
    if (!m_entries.contains(suspect) && m_entries.size() >= maxEntries) {
        evictLeastSuspicious();
    }
    const auto [position, isNew] = m_entries.try_emplace(suspect);
    Entry &entry = position->second;
    if (isNew) {
        entry.state.suspect = suspect;
        entry.lastChange = now;
        if (const std::optional<CrashId> crash = m_evicted.take(suspect)) {
            entry.state.addCrash(*crash);
        }
    }
    return entry;
}

void CrashRecord::changed(Entry &entry, bool local, TimePoint now)
{
    const SuspectId suspect = entry.state.suspect;
    const bool wasHeld = m_held.contains(suspect);
    entry.lastChange = now;
    if (countedCrashes(entry.state, now) >= heldCrashes) {
        m_held.insert(suspect);
        entry.nextTrial = now + trialPause(entry.state.trials - entry.state.clearedTrials);
    } else {
        m_held.erase(suspect);
    }
    if (entry.state.crashes.empty()) {
        entry.exonerations = 0;
        entry.crashedSinceTest = false;
    }
    ChangeFlags &flags = m_changes[suspect];
    flags.local = flags.local || local;
    flags.concernsAll = flags.concernsAll || wasHeld || m_held.contains(suspect);
}

void CrashRecord::evictLeastSuspicious()
{
    std::vector<const Entry *> order;
    order.reserve(m_entries.size());
    for (const auto &[suspect, entry] : m_entries) {
        order.push_back(&entry);
    }
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(order.size() / evictionDivisor);
    std::nth_element(order.begin(), last, order.end(), [](const Entry *left, const Entry *right) {
        return std::make_pair(left->state.crashes.size(), left->lastChange) < std::make_pair(right->state.crashes.size(), right->lastChange);
    });
    std::vector<SuspectId> removed;
    std::transform(order.begin(), last, std::back_inserter(removed), [](const Entry *entry) {
        return entry->state.suspect;
    });
    for (const SuspectId suspect : removed) {
        const std::vector<CrashId> &crashes = m_entries.at(suspect).state.crashes;
        if (crashes.size() == 1) {
            m_evicted.add(suspect, crashes.front());
        }
        m_held.erase(suspect);
        m_entries.erase(suspect);
    }
}

bool CrashRecord::isRecent(const Entry &entry, TimePoint now)
{
    return entry.lastChange + retention >= now;
}

}
