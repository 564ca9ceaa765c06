#include "Streams/CrashQuarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Mangofall {

namespace {

constexpr std::size_t lossesUntilQuarantine = 2;

}

CrashQuarantine::CrashQuarantine(HostId localHost, const QuarantineLimits &limits)
    : m_localHost(std::move(localHost))
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
    const std::set<CrashLoss> losses = unclearedLosses(entry);
    if (losses.empty()) {
        return {RunRule::Run, {}};
    }
    if (losses.size() >= lossesUntilQuarantine) {
        return {RunRule::Refuse, {}};
    }
    const HostId &reportingHost = losses.begin()->reporter;
    if (reportingHost != m_localHost) {
        // Only the reporting host knows whether the request is running. Without that host the request is refused until the entry expires.
        return m_peers.contains(reportingHost) ? RunDecision{RunRule::RunElsewhere, reportingHost} : RunDecision{RunRule::Refuse, {}};
    }
    const bool peersInformed = entry.unacknowledgedPeers.empty() || entry.acknowledgementDeadline <= now;
    return {peersInformed && !m_running.contains(fingerprint) ? RunRule::RunIsolated : RunRule::Wait, {}};
}

bool CrashQuarantine::isReserved(const UpstreamId &upstream) const
{
    return m_isolatedRuns.contains(upstream);
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
        std::erase_if(entry.unacknowledgedPeers, [&](const HostId &peer) {
            return !m_peers.contains(peer);
        });
        releaseFailureIfDue(fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const RunStarted &event, TimePoint)
{
    m_running[event.fingerprint].push_back(event.upstream);
    const auto found = m_entries.find(event.fingerprint);
    if (found != m_entries.end() && !unclearedLosses(found->second).empty()) {
        m_isolatedRuns[event.upstream] = event.fingerprint;
    }
}

void CrashQuarantine::on(const RunEnded &event, TimePoint now)
{
    const auto running = m_running.find(event.fingerprint);
    if (running != m_running.end()) {
        const auto run = std::find(running->second.begin(), running->second.end(), event.upstream);
        if (run != running->second.end()) {
            running->second.erase(run);
        }
        if (running->second.empty()) {
            m_running.erase(running);
        }
    }
    const auto isolatedRun = m_isolatedRuns.find(event.upstream);
    if (isolatedRun == m_isolatedRuns.end() || isolatedRun->second != event.fingerprint) {
        return;
    }
    m_isolatedRuns.erase(isolatedRun);
    if (event.completed) {
        Entry &entry = findOrCreate(event.fingerprint, now);
        entry.cleared.insert(entry.losses.begin(), entry.losses.end());
        broadcastNotice(event.fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const UpstreamCrashed &event, TimePoint now)
{
    for (const RequestFingerprint &fingerprint : event.running) {
        on(RunEnded{fingerprint, event.upstream, false}, now);
    }
    for (const RequestFingerprint &fingerprint : std::set<RequestFingerprint>(event.running.begin(), event.running.end())) {
        Entry &entry = findOrCreate(fingerprint, now);
        entry.losses.insert({event.upstream, event.epoch, m_localHost});
        entry.failureWithheld = true;
        cancelRuns(fingerprint);
        broadcastNotice(fingerprint, entry, now);
        releaseFailureIfDue(fingerprint, entry, now);
    }
    m_isolatedRuns.erase(event.upstream);
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
        entry.unacknowledgedPeers.erase(event.from);
        releaseFailureIfDue(event.notice.fingerprint, entry, now);
    }
}

void CrashQuarantine::on(const QuarantineTick &, TimePoint now)
{
    for (auto &[fingerprint, entry] : m_entries) {
        releaseFailureIfDue(fingerprint, entry, now);
        if (!entry.unacknowledgedPeers.empty() && entry.acknowledgementDeadline > now && entry.nextResend <= now) {
            entry.nextResend = now + m_limits.resendInterval;
            for (const HostId &peer : entry.unacknowledgedPeers) {
                m_actions.emplace_back(SendNotice{peer, makeNotice(fingerprint, entry, now)});
            }
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        return item.second.expiresAt <= now && !m_running.contains(item.first);
    });
}

std::set<CrashLoss> CrashQuarantine::unclearedLosses(const Entry &entry)
{
    std::set<CrashLoss> uncleared;
    std::set_difference(entry.losses.begin(), entry.losses.end(), entry.cleared.begin(), entry.cleared.end(), std::inserter(uncleared, uncleared.end()));
    return uncleared;
}

CrashNotice CrashQuarantine::makeNotice(const RequestFingerprint &fingerprint, const Entry &entry, TimePoint now)
{
    return {entry.notice, fingerprint, entry.losses, entry.cleared, entry.expiresAt - now};
}

CrashQuarantine::Entry &CrashQuarantine::findOrCreate(const RequestFingerprint &fingerprint, TimePoint now)
{
    const auto known = m_entries.find(fingerprint);
    if (known != m_entries.end() && known->second.expiresAt <= now) {
        m_entries.erase(known);
    }
    if (!m_entries.contains(fingerprint) && m_entries.size() >= m_limits.maxEntries) {
        evictEntry();
    }
    return m_entries[fingerprint];
}

CrashQuarantine::Entry &CrashQuarantine::merge(const CrashNotice &notice, TimePoint now)
{
    Entry &entry = findOrCreate(notice.fingerprint, now);
    const std::set<CrashLoss> before = unclearedLosses(entry);
    const std::size_t known = entry.losses.size() + entry.cleared.size();
    entry.losses.insert(notice.losses.begin(), notice.losses.end());
    entry.cleared.insert(notice.cleared.begin(), notice.cleared.end());
    const std::set<CrashLoss> after = unclearedLosses(entry);
    if (entry.losses.size() + entry.cleared.size() != known) {
        entry.expiresAt = std::max(entry.expiresAt, now + std::min(notice.remaining, m_limits.lifetime));
    }
    if (!std::includes(before.begin(), before.end(), after.begin(), after.end())) {
        cancelRuns(notice.fingerprint);
    }
    return entry;
}

void CrashQuarantine::broadcastNotice(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now)
{
    entry.expiresAt = now + m_limits.lifetime;
    entry.notice = ++m_lastNotice;
    entry.unacknowledgedPeers = m_peers;
    entry.acknowledgementDeadline = now + m_limits.noticeTimeout;
    entry.nextResend = now + m_limits.resendInterval;
    for (const HostId &peer : m_peers) {
        m_actions.emplace_back(SendNotice{peer, makeNotice(fingerprint, entry, now)});
    }
}

void CrashQuarantine::releaseFailureIfDue(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now)
{
    if (entry.failureWithheld && (entry.unacknowledgedPeers.empty() || entry.acknowledgementDeadline <= now)) {
        entry.failureWithheld = false;
        m_actions.emplace_back(ReleaseFailure{fingerprint});
    }
}

void CrashQuarantine::cancelRuns(const RequestFingerprint &fingerprint)
{
    const auto running = m_running.find(fingerprint);
    if (running == m_running.end()) {
        return;
    }
    for (const UpstreamId &upstream : running->second) {
        m_actions.emplace_back(CancelRun{fingerprint, upstream});
    }
}

void CrashQuarantine::evictEntry()
{
    // Evicts cleared entries first and quarantined ones last; among equals the one that expires first.
    const auto rank = [](const Entries::value_type &item) {
        return std::pair(unclearedLosses(item.second).size(), item.second.expiresAt);
    };
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [&](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    }));
}

}
