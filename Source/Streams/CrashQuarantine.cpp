#include "Streams/CrashQuarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Mangofall {

namespace {

constexpr std::size_t quarantineLosses = 2;

}

CrashQuarantine::CrashQuarantine(HostId self, const QuarantineLimits &limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

std::vector<QuarantineAction> CrashQuarantine::handle(const QuarantineEvent &event, TimePoint now)
{
    std::visit(
        [&](const auto &typed) {
            on(typed, now);
        },
        event);
    return std::exchange(m_actions, {});
}

RunDecision CrashQuarantine::decide(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now) {
        return {RunRule::Run, {}};
    }
    const Entry &entry = found->second;
    const std::set<CrashLoss> losses = openLosses(entry);
    if (losses.empty()) {
        return {RunRule::Run, {}};
    }
    if (losses.size() >= quarantineLosses) {
        return {RunRule::Refuse, {}};
    }
    const HostId &arbiter = losses.begin()->reporter;
    if (arbiter != m_self) {
        // Without its arbiter nobody can tell whether a copy is running; the entry's expiry ends this.
        return m_peers.contains(arbiter) ? RunDecision{RunRule::RunElsewhere, arbiter} : RunDecision{RunRule::Refuse, {}};
    }
    const bool peersKnow = entry.awaited.empty() || entry.awaitedUntil <= now;
    return {peersKnow && !m_running.contains(fingerprint) ? RunRule::RunAlone : RunRule::Wait, {}};
}

bool CrashQuarantine::reserved(const UpstreamId &upstream) const
{
    return m_alone.contains(upstream);
}

std::vector<CrashNotice> CrashQuarantine::snapshot(TimePoint now) const
{
    std::vector<CrashNotice> notices;
    notices.reserve(m_entries.size());
    for (const auto &[fingerprint, entry] : m_entries) {
        notices.push_back(makeNotice(fingerprint, entry, now));
    }
    return notices;
}

std::size_t CrashQuarantine::size() const
{
    return m_entries.size();
}

void CrashQuarantine::on(const PeersChanged &event, TimePoint now)
{
    m_peers = {event.peers.begin(), event.peers.end()};
    for (auto &[fingerprint, entry] : m_entries) {
        std::erase_if(entry.awaited, [&](const HostId &peer) {
            return !m_peers.contains(peer);
        });
        releaseIfKnown(fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const RunStarted &event, TimePoint)
{
    m_running[event.fingerprint].push_back(event.upstream);
    const auto found = m_entries.find(event.fingerprint);
    if (found != m_entries.end() && !openLosses(found->second).empty()) {
        m_alone[event.upstream] = event.fingerprint;
    }
}

void CrashQuarantine::on(const RunEnded &event, TimePoint now)
{
    const auto running = m_running.find(event.fingerprint);
    if (running != m_running.end()) {
        const auto copy = std::find(running->second.begin(), running->second.end(), event.upstream);
        if (copy != running->second.end()) {
            running->second.erase(copy);
        }
        if (running->second.empty()) {
            m_running.erase(running);
        }
    }
    const auto alone = m_alone.find(event.upstream);
    if (alone == m_alone.end() || alone->second != event.fingerprint) {
        return;
    }
    m_alone.erase(alone);
    if (event.completed) {
        Entry &entry = find(event.fingerprint, now);
        entry.cleared.insert(entry.losses.begin(), entry.losses.end());
        announce(event.fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const UpstreamCrashed &event, TimePoint now)
{
    for (const RequestFingerprint &fingerprint : event.running) {
        on(RunEnded{fingerprint, event.upstream, false}, now);
    }
    for (const RequestFingerprint &fingerprint : std::set<RequestFingerprint>(event.running.begin(), event.running.end())) {
        Entry &entry = find(fingerprint, now);
        entry.losses.insert({event.upstream, event.epoch, m_self});
        entry.failureHeld = true;
        stopCopies(fingerprint);
        announce(fingerprint, entry, now);
        releaseIfKnown(fingerprint, entry, now);
    }
    m_alone.erase(event.upstream);
}

void CrashQuarantine::on(const NoticeReceived &event, TimePoint now)
{
    const Entry &entry = merge(event.notice, now);
    CrashNotice answer = makeNotice(event.notice.fingerprint, entry, now);
    answer.number = event.notice.number;
    m_actions.emplace_back(AcknowledgeNotice{event.from, std::move(answer)});
}

void CrashQuarantine::on(const NoticeAcknowledged &event, TimePoint now)
{
    Entry &entry = merge(event.notice, now);
    if (entry.notice == event.notice.number) {
        entry.awaited.erase(event.from);
        releaseIfKnown(event.notice.fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const QuarantineTick &, TimePoint now)
{
    for (auto &[fingerprint, entry] : m_entries) {
        releaseIfKnown(fingerprint, entry, now);
        if (!entry.awaited.empty() && entry.awaitedUntil > now && entry.resendAt <= now) {
            entry.resendAt = now + m_limits.resendInterval;
            for (const HostId &peer : entry.awaited) {
                m_actions.emplace_back(SendNotice{peer, makeNotice(fingerprint, entry, now)});
            }
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        return item.second.expiresAt <= now && !m_running.contains(item.first);
    });
}

std::set<CrashLoss> CrashQuarantine::openLosses(const Entry &entry)
{
    std::set<CrashLoss> open;
    std::set_difference(entry.losses.begin(), entry.losses.end(), entry.cleared.begin(), entry.cleared.end(), std::inserter(open, open.end()));
    return open;
}

CrashNotice CrashQuarantine::makeNotice(const RequestFingerprint &fingerprint, const Entry &entry, TimePoint now)
{
    return {entry.notice, fingerprint, entry.losses, entry.cleared, entry.expiresAt - now};
}

CrashQuarantine::Entry &CrashQuarantine::find(const RequestFingerprint &fingerprint, TimePoint now)
{
    const auto known = m_entries.find(fingerprint);
    if (known != m_entries.end() && known->second.expiresAt <= now) {
        m_entries.erase(known);
    }
    if (!m_entries.contains(fingerprint) && m_entries.size() >= m_limits.maxEntries) {
        evict();
    }
    return m_entries[fingerprint];
}

CrashQuarantine::Entry &CrashQuarantine::merge(const CrashNotice &notice, TimePoint now)
{
    Entry &entry = find(notice.fingerprint, now);
    const std::set<CrashLoss> before = openLosses(entry);
    const std::size_t known = entry.losses.size() + entry.cleared.size();
    entry.losses.insert(notice.losses.begin(), notice.losses.end());
    entry.cleared.insert(notice.cleared.begin(), notice.cleared.end());
    const std::set<CrashLoss> after = openLosses(entry);
    if (entry.losses.size() + entry.cleared.size() != known) {
        entry.expiresAt = std::max(entry.expiresAt, now + std::min(notice.remaining, m_limits.lifetime));
    }
    if (!std::includes(before.begin(), before.end(), after.begin(), after.end())) {
        stopCopies(notice.fingerprint);
    }
    return entry;
}

void CrashQuarantine::announce(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now)
{
    entry.expiresAt = now + m_limits.lifetime;
    entry.notice = ++m_lastNotice;
    entry.awaited = m_peers;
    entry.awaitedUntil = now + m_limits.noticeTimeout;
    entry.resendAt = now + m_limits.resendInterval;
    for (const HostId &peer : m_peers) {
        m_actions.emplace_back(SendNotice{peer, makeNotice(fingerprint, entry, now)});
    }
}

void CrashQuarantine::releaseIfKnown(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now)
{
    if (entry.failureHeld && (entry.awaited.empty() || entry.awaitedUntil <= now)) {
        entry.failureHeld = false;
        m_actions.emplace_back(ReleaseFailure{fingerprint});
    }
}

void CrashQuarantine::stopCopies(const RequestFingerprint &fingerprint)
{
    const auto running = m_running.find(fingerprint);
    if (running == m_running.end()) {
        return;
    }
    for (const UpstreamId &upstream : running->second) {
        m_actions.emplace_back(CancelRun{fingerprint, upstream});
    }
}

void CrashQuarantine::evict()
{
    // Acquitted entries go first, quarantined ones last; the oldest among equals.
    const auto rank = [](const Entries::value_type &item) {
        return std::pair(openLosses(item.second).size(), item.second.expiresAt);
    };
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [&](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    }));
}

}
