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
        m_calling = false;
        onRead(*read, now, actions);
    } else if (const auto *written = std::get_if<LeaseWritten>(&event)) {
        m_calling = false;
        onWritten(written->version, now, actions);
    } else if (std::holds_alternative<LeaseConflict>(event)) {
        m_calling = false;
        m_version.reset();
    } else if (std::holds_alternative<LeaseCallLost>(event)) {
        m_calling = false;
        m_version.reset();
        m_notBefore = now + m_settings.retry;
    }
    tick(now, actions);
    return actions;
}

void StoreLease::onRead(const LeaseRead &event, TimePoint now, Actions &actions)
{
    const bool own = event.version != 0 && event.value.holder == m_self && event.value.incarnation == m_incarnation;
    if (event.version != m_expected) {
        if (own && m_oldestSent && event.value.term == m_written.term) {
            // A write whose response was lost took effect.
            m_written = event.value;
            onWritten(event.version, now, actions);
            return;
        }
        // No write of this host can take effect any more.
        m_oldestSent.reset();
    }
    if (!own) {
        end(now, actions);
    }
    m_version = event.version;
    m_value = event.value;
    m_nextPoll = now + m_settings.poll;
    if (event.version == m_seenVersion) {
        return;
    }
    const Duration wait = event.version == 0 || own ? Duration::zero() : withDrift(event.value.wait);
    m_seenVersion = event.version;
    m_takeOver = std::max(now + wait, m_until);
}

void StoreLease::onWritten(std::uint64_t version, TimePoint now, Actions &actions)
{
    m_version = version;
    m_seenVersion = version;
    m_value = m_written;
    const TimePoint sent = m_oldestSent.value_or(now);
    m_oldestSent.reset();
    if (m_value.holder != m_self) {
        m_takeOver = std::max(now + withDrift(m_value.wait), m_until);
        m_nextPoll = now + m_settings.poll;
        return;
    }
    m_takeOver = std::max(now, m_until);
    const TimePoint until = sent + m_settings.validity;
    if (until > now && m_wanted) {
        m_holding = true;
        m_until = until;
        actions.emplace_back(LeaseGranted{.term = m_value.term, .until = until});
    }
}

void StoreLease::end(TimePoint now, Actions &actions)
{
    if (m_holding) {
        m_holding = false;
        // No new term starts while effects of this one may last. The holder knows their end only when it gives up the lease itself.
        m_until = m_wanted ? m_until : std::min(m_until, std::max(m_lastUse, now));
        m_takeOver = std::max(m_takeOver, m_until);
        actions.emplace_back(LeaseEnded{});
    }
}

void StoreLease::tick(TimePoint now, Actions &actions)
{
    if (m_holding && (now >= m_until || !m_wanted)) {
        end(now, actions);
    }
    if (m_calling || now < m_notBefore) {
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
        m_calling = true;
        actions.emplace_back(ReadLease{m_key});
        return;
    }
    if (m_holding && ownValue) {
        if (now >= m_until - m_settings.validity + m_settings.renewal) {
            write(m_value, now, actions);
        }
        return;
    }
    if (now >= m_takeOver) {
        write({.holder = m_self, .incarnation = m_incarnation, .term = *m_version + 1, .wait = m_settings.successorWait}, now, actions);
    } else if (now >= m_nextPoll) {
        m_calling = true;
        actions.emplace_back(ReadLease{m_key});
    }
}

void StoreLease::write(LeaseValue value, TimePoint now, Actions &actions)
{
    m_calling = true;
    m_written = std::move(value);
    m_expected = *m_version;
    m_oldestSent = std::min(m_oldestSent.value_or(now), now);
    actions.emplace_back(WriteLease{.key = m_key, .expectedVersion = *m_version, .value = m_written});
}

Duration StoreLease::withDrift(Duration wait) const
{
    return toDuration(Seconds(wait) * (1 + m_settings.clockDrift));
}

}
