#include "Feed/EraTransition.h"

#include "Feed/RestorePolicy.h"

#include <utility>

namespace Mangofall::Feed {

namespace {

// Bounds the memory that removed keys take.
constexpr std::size_t maxRemovals = 4096;

bool isSame(const StoreItem &left, const StoreItem &right)
{
    return left.removed == right.removed && left.value == right.value;
}

}

EraTransition::EraTransition(const RestorePolicy &policy)
    : m_policy(policy)
{
}

EraChanges EraTransition::changed(const StoreItem &item, TimePoint now)
{
    EraChanges changes;
    applyWrite(item, now, changes);
    forgetOldRemovals();
    return changes;
}

EraChanges EraTransition::restored(const RestoredItems &store, TimePoint restoredAfter)
{
    EraChanges changes;
    const std::map<std::string, Hold> formerlyHeld = std::exchange(m_held, {});
    m_restoredAt = restoredAfter;
    std::vector<StoreItem> missing;
    for (const auto &[key, told] : m_told) {
        const auto item = store.items.find(key);
        if (!told.removed && (item == store.items.end() || item->second.removed)) {
            missing.push_back({key, {}, store.revision, true});
        }
    }
    for (const auto &[key, item] : store.items) {
        if (!item.removed) {
            compare(item, item.revision > store.copyRevision, restoredAfter, changes);
        }
    }
    for (const StoreItem &item : missing) {
        compare(item, false, restoredAfter, changes);
    }
    for (const auto &[key, hold] : formerlyHeld) {
        if (!m_held.contains(key)) {
            changes.released.push_back({key, ReleaseCause::Confirmed});
        }
    }
    forgetOldRemovals();
    return changes;
}

EraChanges EraTransition::expire(TimePoint now)
{
    EraChanges changes;
    std::vector<StoreItem> due;
    for (const auto &[key, hold] : m_held) {
        if (hold.until && now >= *hold.until) {
            due.push_back(hold.offered);
        }
    }
    for (const StoreItem &item : due) {
        m_held.erase(item.key);
        changes.released.push_back({item.key, ReleaseCause::Expired});
        report(item, changes);
    }
    forgetOldRemovals();
    return changes;
}

bool EraTransition::hasTold() const
{
    return !m_told.empty();
}

std::size_t EraTransition::held() const
{
    return m_held.size();
}

void EraTransition::compare(const StoreItem &offered, bool writtenAfterCopy, TimePoint now, EraChanges &changes)
{
    const auto told = m_told.find(offered.key);
    if (told == m_told.end()) {
        report(offered, changes);
        return;
    }
    if (isSame(told->second, offered)) {
        return;
    }
    if (writtenAfterCopy) {
        applyWrite(offered, now, changes);
        return;
    }
    const HoldTerms terms = m_policy.againstCopy(told->second, offered);
    if (terms.time <= Duration::zero() && !terms.untilWritten) {
        report(offered, changes);
    } else {
        hold(offered, terms.untilWritten ? std::nullopt : std::optional(now + terms.time), changes);
    }
}

void EraTransition::applyWrite(const StoreItem &item, TimePoint now, EraChanges &changes)
{
    const auto told = m_told.find(item.key);
    const bool mayBeHeld = m_restoredAt && told != m_told.end() && !isSame(told->second, item);
    if (mayBeHeld) {
        const TimePoint until = *m_restoredAt + m_policy.againstWrite(told->second, item);
        if (now < until) {
            hold(item, until, changes);
            return;
        }
    }
    if (m_held.erase(item.key) > 0) {
        changes.released.push_back({item.key, ReleaseCause::Written});
    }
    report(item, changes);
}

void EraTransition::report(const StoreItem &item, EraChanges &changes)
{
    StoreItem &told = m_told[item.key];
    if (item.removed && !told.removed) {
        m_removals.push_back(item.key);
    }
    told = item;
    changes.reported.push_back(item);
}

void EraTransition::hold(const StoreItem &offered, std::optional<TimePoint> until, EraChanges &changes)
{
    m_held[offered.key] = {offered, until};
    changes.held.push_back(offered.key);
}

void EraTransition::forgetOldRemovals()
{
    while (m_removals.size() > maxRemovals) {
        const std::string key = std::move(m_removals.front());
        m_removals.pop_front();
        const auto told = m_told.find(key);
        if (told != m_told.end() && told->second.removed && !m_held.contains(key)) {
            m_told.erase(told);
        }
    }
}

std::string name(ReleaseCause cause)
{
    switch (cause) {
    case ReleaseCause::Written:
        return "written";
    case ReleaseCause::Expired:
        return "expired";
    case ReleaseCause::Confirmed:
        return "confirmed";
    }
    return "unknown";
}

}
