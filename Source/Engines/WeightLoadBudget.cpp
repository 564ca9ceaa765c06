#include "Engines/WeightLoadBudget.h"

#include <algorithm>

namespace Mangofall {

namespace {

std::uint64_t totalRate(const WeightLoadSlots &slots)
{
    std::uint64_t total = 0;
    for (const auto &[name, slot] : slots) {
        total += slot.rate;
    }
    return total;
}

}

WeightLoadBudget::WeightLoadBudget(const HostId &self, std::uint64_t incarnation, WeightLoadBudgetSettings settings)
    : m_prefix(self.value() + '/' + std::to_string(incarnation) + '/')
    , m_settings(settings)
{
}

WeightLoadBudget::Actions WeightLoadBudget::handle(const BudgetEvent &event, TimePoint now)
{
    Actions actions;
    if (const auto *requested = std::get_if<WeightLoadRequested>(&event)) {
        if (requested->rate > m_settings.rateLimit) {
            actions.emplace_back(RefuseWeightLoad{requested->id});
        } else {
            m_waiting.push_back(*requested);
        }
    } else if (const auto *finished = std::get_if<WeightLoadFinished>(&event)) {
        std::erase_if(m_running, [&](const auto &entry) {
            return entry.second.id == finished->id;
        });
    } else if (const auto *read = std::get_if<BudgetRead>(&event)) {
        m_callInFlight = false;
        applyRead(*read, now, actions);
    } else if (const auto *written = std::get_if<BudgetWritten>(&event)) {
        m_callInFlight = false;
        applyRead({written->version, m_writtenSlots}, now, actions);
    } else if (std::holds_alternative<BudgetConflict>(event)) {
        m_callInFlight = false;
        m_version.reset();
    } else if (std::holds_alternative<BudgetCallLost>(event)) {
        m_callInFlight = false;
        m_version.reset();
        m_nextCallAt = now + m_settings.pollInterval;
    }
    advance(now, actions);
    return actions;
}

void WeightLoadBudget::applyRead(const BudgetRead &event, TimePoint now, Actions &actions)
{
    m_version = event.version;
    m_slots = event.slots;
    for (const auto &[name, slot] : m_slots) {
        m_slotFirstSeenAt.try_emplace(name, now);
    }
    std::erase_if(m_slotFirstSeenAt, [&](const auto &entry) {
        return !m_slots.contains(entry.first);
    });
    startClaimedLoad(now, actions);
}

void WeightLoadBudget::startClaimedLoad(TimePoint now, Actions &actions)
{
    if (m_waiting.empty() || m_claimedSlot.empty() || !m_slots.contains(m_claimedSlot)) {
        return;
    }
    // Other hosts remove the slot once they have seen it for longer than its maximum duration, which includes a start delay of at most startTimeout.
    if (now - m_claimSentAt <= m_settings.startTimeout) {
        m_running.emplace(m_claimedSlot, m_waiting.front());
        actions.emplace_back(StartWeightLoad{m_waiting.front().id});
        m_waiting.pop_front();
        m_claimedSlot.clear();
    }
}

WeightLoadSlots WeightLoadBudget::slotsToKeep(TimePoint now) const
{
    WeightLoadSlots slots = m_slots;
    std::erase_if(slots, [&](const auto &entry) {
        const auto &[name, slot] = entry;
        const Duration maxDuration = toDuration(Seconds(slot.maxDuration) * (1 + m_settings.clockDrift));
        return name.starts_with(m_prefix) ? !m_running.contains(name) : now - m_slotFirstSeenAt.at(name) > maxDuration;
    });
    return slots;
}

void WeightLoadBudget::advance(TimePoint now, Actions &actions)
{
    const bool hasOwnSlots = std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &entry) {
        return entry.first.starts_with(m_prefix);
    });
    const bool hasWork = !m_waiting.empty() || !m_running.empty() || hasOwnSlots || !m_claimedSlot.empty();
    if (m_callInFlight || now < m_nextCallAt || !hasWork) {
        return;
    }
    if (!m_version) {
        m_callInFlight = true;
        actions.emplace_back(ReadBudget{});
        return;
    }
    WeightLoadSlots slots = slotsToKeep(now);
    // A slot that was stored too late for its load to start is released before the load claims another one.
    const bool isClaimStored = !m_claimedSlot.empty() && m_slots.contains(m_claimedSlot);
    const bool addsClaim = !m_waiting.empty() && !isClaimStored && totalRate(slots) + m_waiting.front().rate <= m_settings.rateLimit;
    if (!addsClaim && slots == m_slots) {
        // The budget is used up: the key is read again later for slots that other hosts have released.
        if (!m_waiting.empty()) {
            m_nextCallAt = now + m_settings.pollInterval;
            m_version.reset();
        }
        return;
    }
    if (!addsClaim) {
        m_claimedSlot.clear();
    } else if (m_claimedSlot.empty()) {
        m_claimedSlot = m_prefix + std::to_string(++m_claimCount);
        m_claimSentAt = now;
    }
    if (addsClaim) {
        const WeightLoadRequested &load = m_waiting.front();
        slots.emplace(m_claimedSlot, WeightLoadSlot{.rate = load.rate, .maxDuration = m_settings.startTimeout + load.duration});
    }
    m_callInFlight = true;
    m_writtenSlots = slots;
    actions.emplace_back(WriteBudget{.expectedVersion = *m_version, .slots = std::move(slots)});
}

}
