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
    if (const auto *wanted = std::get_if<WeightLoadWanted>(&event)) {
        if (wanted->rate > m_settings.rateLimit) {
            actions.emplace_back(RefuseWeightLoad{wanted->id});
        } else {
            m_waiting.push_back(*wanted);
        }
    } else if (const auto *finished = std::get_if<WeightLoadFinished>(&event)) {
        std::erase_if(m_running, [&](const auto &entry) {
            return entry.second.id == finished->id;
        });
    } else if (const auto *read = std::get_if<BudgetRead>(&event)) {
        m_calling = false;
        onRead(*read, now, actions);
    } else if (const auto *written = std::get_if<BudgetWritten>(&event)) {
        m_calling = false;
        onRead({written->version, m_written}, now, actions);
    } else if (std::holds_alternative<BudgetConflict>(event)) {
        m_calling = false;
        m_version.reset();
    } else if (std::holds_alternative<BudgetCallLost>(event)) {
        m_calling = false;
        m_version.reset();
        m_notBefore = now + m_settings.pollInterval;
    }
    next(now, actions);
    return actions;
}

void WeightLoadBudget::onRead(const BudgetRead &event, TimePoint now, Actions &actions)
{
    m_version = event.version;
    m_slots = event.slots;
    for (const auto &[name, slot] : m_slots) {
        m_firstSeen.try_emplace(name, now);
    }
    std::erase_if(m_firstSeen, [&](const auto &entry) {
        return !m_slots.contains(entry.first);
    });
    startOwn(now, actions);
}

void WeightLoadBudget::startOwn(TimePoint now, Actions &actions)
{
    if (m_waiting.empty() || m_claim.empty() || !m_slots.contains(m_claim)) {
        return;
    }
    // Others remove the slot when they have seen it for its longest duration, which allows for a start of this lateness only.
    if (now - m_firstSent <= m_settings.startLimit) {
        m_running.emplace(m_claim, m_waiting.front());
        actions.emplace_back(StartWeightLoad{m_waiting.front().id});
        m_waiting.pop_front();
        m_claim.clear();
    }
}

WeightLoadSlots WeightLoadBudget::wantedSlots(TimePoint now) const
{
    WeightLoadSlots slots = m_slots;
    std::erase_if(slots, [&](const auto &entry) {
        const auto &[name, slot] = entry;
        const Duration longest = toDuration(Seconds(slot.longest) * (1 + m_settings.clockDrift));
        return name.starts_with(m_prefix) ? !m_running.contains(name) : now - m_firstSeen.at(name) > longest;
    });
    return slots;
}

void WeightLoadBudget::next(TimePoint now, Actions &actions)
{
    const bool ownSlots = std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &entry) {
        return entry.first.starts_with(m_prefix);
    });
    const bool busy = !m_waiting.empty() || !m_running.empty() || ownSlots || !m_claim.empty();
    if (m_calling || now < m_notBefore || !busy) {
        return;
    }
    if (!m_version) {
        m_calling = true;
        actions.emplace_back(ReadBudget{});
        return;
    }
    WeightLoadSlots slots = wantedSlots(now);
    // A slot that came too late to start is given back before the load claims another one.
    const bool held = !m_claim.empty() && m_slots.contains(m_claim);
    const bool claims = !m_waiting.empty() && !held && totalRate(slots) + m_waiting.front().rate <= m_settings.rateLimit;
    if (!claims && slots == m_slots) {
        // The budget is used up: look again later for slots that others have given back.
        if (!m_waiting.empty()) {
            m_notBefore = now + m_settings.pollInterval;
            m_version.reset();
        }
        return;
    }
    if (!claims) {
        m_claim.clear();
    } else if (m_claim.empty()) {
        m_claim = m_prefix + std::to_string(++m_claims);
        m_firstSent = now;
    }
    if (claims) {
        const WeightLoadWanted &load = m_waiting.front();
        slots.emplace(m_claim, WeightLoadSlot{.rate = load.rate, .longest = m_settings.startLimit + load.duration});
    }
    m_calling = true;
    m_written = slots;
    actions.emplace_back(WriteBudget{.expectedVersion = *m_version, .slots = std::move(slots)});
}

}
