#include "Membership/StoreLease.h"

#include <algorithm>

namespace Mangofall::Membership {

StoreLease::StoreLease(HostId self, std::uint64_t incarnation, std::string key, LeaseSettings settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_key(std::move(key))
    , m_settings(settings)
{
}

StoreLease::Actions StoreLease::handle(const LeaseEvent &event, TimePoint now)
{
    Actions actions;
    if (const auto *wanted = std::get_if<LeaseWanted>(&event)) {
        m_wanted = wanted->wanted;
        m_lastUse = wanted->lastUse;
    } else if (const auto *read = std::get_if<LeaseRead>(&event)) {
        m_callInFlight = false;
        onRead(*read, now, actions);
    } else if (const auto *written = std::get_if<LeaseWritten>(&event)) {
        m_callInFlight = false;
        onWritten(written->version, now, actions);
    } else if (std::holds_alternative<LeaseConflict>(event)) {
        m_callInFlight = false;
        m_version.reset();
    } else if (std::holds_alternative<LeaseCallLost>(event)) {
        m_callInFlight = false;
        m_version.reset();
        m_notBefore = now + m_settings.retry;
    }
    tick(now, actions);
    return actions;
}

void StoreLease::onRead(const LeaseRead &event, TimePoint now, Actions &actions)
{
    const bool own = event.version != 0 && event.value.holder == m_self && event.value.incarnation == m_incarnation;
    if (event.version != m_replacedVersion) {
        if (own && m_oldestWriteSent && event.value.term == m_lastWritten.term) {
            // A write whose response was lost has taken effect.
            m_lastWritten = event.value;
            onWritten(event.version, now, actions);
            return;
        }
        // The version has moved on, so no earlier write of this host can still take effect.
        m_oldestWriteSent.reset();
    }
    if (!own) {
        end(now, actions);
    }
    m_version = event.version;
    m_value = event.value;
    m_nextPoll = now + m_settings.poll;
    if (event.version == m_observedVersion) {
        return;
    }
    const Duration wait = event.version == 0 || own ? Duration::zero() : withDrift(event.value.wait);
    m_observedVersion = event.version;
    m_takeOverAt = std::max(now + wait, m_heldUntil);
}

void StoreLease::onWritten(std::uint64_t version, TimePoint now, Actions &actions)
{
    m_version = version;
    m_observedVersion = version;
    m_value = m_lastWritten;
    const TimePoint sent = m_oldestWriteSent.value_or(now);
    m_oldestWriteSent.reset();
    if (m_value.holder != m_self) {
        m_takeOverAt = std::max(now + withDrift(m_value.wait), m_heldUntil);
        m_nextPoll = now + m_settings.poll;
        return;
    }
    m_takeOverAt = std::max(now, m_heldUntil);
    const TimePoint until = sent + m_settings.validity;
    if (until > now && m_wanted) {
        m_holding = true;
        m_heldUntil = until;
        actions.emplace_back(LeaseGranted{.term = m_value.term, .until = until});
    }
}

void StoreLease::end(TimePoint now, Actions &actions)
{
    if (m_holding) {
        m_holding = false;
        // No new term starts while effects of this term may last. The holder knows when they end only if it gives up the lease itself.
        m_heldUntil = m_wanted ? m_heldUntil : std::min(m_heldUntil, std::max(m_lastUse, now));
        m_takeOverAt = std::max(m_takeOverAt, m_heldUntil);
        actions.emplace_back(LeaseEnded{});
    }
}

void StoreLease::tick(TimePoint now, Actions &actions)
{
    if (m_holding && (now >= m_heldUntil || !m_wanted)) {
        end(now, actions);
    }
    if (m_callInFlight || now < m_notBefore) {
        return;
    }
    const bool ownValue = m_version && *m_version != 0 && m_value.holder == m_self && m_value.incarnation == m_incarnation;
    if (!m_wanted) {
        if (ownValue) {
            const Duration wait = m_lastUse > now ? m_lastUse - now : Duration::zero();
            write({.holder = HostId(), .incarnation = 0, .term = m_value.term, .wait = wait}, now, actions);
        }
        return;
    }
    if (!m_version) {
        m_callInFlight = true;
        actions.emplace_back(ReadLease{m_key});
        return;
    }
    if (m_holding && ownValue) {
        if (now >= m_heldUntil - m_settings.validity + m_settings.renewal) {
            write(m_value, now, actions);
        }
        return;
    }
    if (now >= m_takeOverAt) {
        write({.holder = m_self, .incarnation = m_incarnation, .term = *m_version + 1, .wait = m_settings.successorWait}, now, actions);
    } else if (now >= m_nextPoll) {
        m_callInFlight = true;
        actions.emplace_back(ReadLease{m_key});
    }
}

void StoreLease::write(LeaseValue value, TimePoint now, Actions &actions)
{
    m_callInFlight = true;
    m_lastWritten = std::move(value);
    m_replacedVersion = *m_version;
    m_oldestWriteSent = std::min(m_oldestWriteSent.value_or(now), now);
    actions.emplace_back(WriteLease{.key = m_key, .expectedVersion = *m_version, .value = m_lastWritten});
}

Duration StoreLease::withDrift(Duration wait) const
{
    return toDuration(Seconds(wait) * (1 + m_settings.clockDrift));
}

}
