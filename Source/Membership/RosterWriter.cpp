#include "Membership/RosterWriter.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Membership {

RosterWriter::RosterWriter(HostId self, const DataCentreId &dataCentre, RosterWriterSettings settings)
    : m_self(std::move(self))
    , m_key(keyOf(dataCentre))
    , m_settings(settings)
{
}

HostId RosterWriter::writerOf(const DataCentreRoster &roster)
{
    const std::string key = keyOf(roster.dataCentre);
    std::pair<std::uint64_t, HostId> best;
    for (const auto &[host, claim] : roster.hosts) {
        if (claim.state == HostState::Alive) {
            best = std::max(best, std::pair(rendezvousScore(key, host.value()), host));
        }
    }
    return best.second;
}

std::string RosterWriter::keyOf(const DataCentreId &dataCentre)
{
    return "mangofall/roster/" + dataCentre.value();
}

RosterWriter::Actions RosterWriter::handle(const RosterEvent &event, TimePoint now)
{
    Actions actions;
    if (const auto *changed = std::get_if<RosterChanged>(&event)) {
        m_local = changed->roster;
    } else if (const auto *read = std::get_if<RosterRead>(&event)) {
        m_call = Call::None;
        m_version = read->version;
        m_stored = read->roster;
        actions.emplace_back(MergeRoster{read->roster});
    } else if (const auto *written = std::get_if<RosterWritten>(&event)) {
        m_call = Call::None;
        m_version = written->version;
        m_stored = m_writing;
        m_lastWrite = now;
        m_notBefore = now + m_settings.writeInterval;
    } else if (std::holds_alternative<RosterConflict>(event)) {
        m_call = Call::None;
        m_version.reset();
    } else if (std::holds_alternative<RosterCallLost>(event)) {
        m_call = Call::None;
        m_version.reset();
        m_notBefore = now + m_settings.retryInterval;
    }
    for (RosterAction &action : next(now)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

RosterWriter::Actions RosterWriter::next(TimePoint now)
{
    if (m_call != Call::None || now < m_notBefore || m_local.hosts.empty() || writerOf(m_local) != m_self) {
        return {};
    }
    if (!m_version) {
        m_call = Call::Reading;
        return {ReadRoster{m_key}};
    }
    if (!differs(now)) {
        return {};
    }
    // A stored claim that this host does not know stays; hosts that it has forgotten leave the roster.
    m_writing = m_stored;
    merge(m_writing, m_local);
    std::erase_if(m_writing.hosts, [&](const auto &entry) {
        return entry.second.state == HostState::Dead && !m_local.hosts.contains(entry.first);
    });
    m_writing.dataCentre = m_local.dataCentre;
    m_writing.region = m_local.region;
    m_call = Call::Writing;
    return {WriteRoster{.key = m_key, .expectedVersion = *m_version, .roster = m_writing}};
}

bool RosterWriter::differs(TimePoint now) const
{
    const bool refresh = now - m_lastWrite >= m_settings.refreshInterval;
    return std::any_of(m_local.hosts.begin(), m_local.hosts.end(), [&](const auto &entry) {
        const auto stored = m_stored.hosts.find(entry.first);
        if (stored == m_stored.hosts.end()) {
            return true;
        }
        const bool newer = supersedes(entry.second, stored->second);
        return newer && (refresh || entry.second.state != stored->second.state || entry.second.incarnation != stored->second.incarnation);
    });
}

}
