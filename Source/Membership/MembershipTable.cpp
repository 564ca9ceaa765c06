#include "Membership/MembershipTable.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Membership {

namespace {

constexpr std::size_t maxRemoteProbes = 3; // hosts of a data centre that are probed before it counts as unreachable
constexpr std::chrono::seconds defaultInterval{1};

/// Whether the probes were caused by this host's own observation of its connection, not by a claim or list.
bool causedByObservation(ProbeCause cause)
{
    return cause == ProbeCause::Silence || cause == ProbeCause::Connection;
}

HostStatus claimOf(const HostRecord &record)
{
    HostStatus claim = record.status;
    if (claim.state == HostState::Dead) {
        claim.sequence += deathSequenceMargin;
    }
    return claim;
}

HostStatus statusOf(const Heartbeat &heartbeat)
{
    return {.host = heartbeat.host,
            .incarnation = heartbeat.incarnation,
            .sequence = heartbeat.sequence,
            .state = heartbeat.leaving ? HostState::Leaving : HostState::Alive,
            .dataCentre = heartbeat.dataCentre,
            .region = heartbeat.region,
            .address = heartbeat.address,
            .port = heartbeat.port,
            .revision = heartbeat.revision};
}

}

MembershipTable::MembershipTable(Heartbeat self, MembershipSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_expectations{.meshInterval = defaultInterval, .watched = {}, .watchInterval = defaultInterval, .digestInterval = defaultInterval}
{
}

MembershipTable::Actions MembershipTable::handle(const MembershipEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(
        [&](const auto &alternative) {
            on(alternative, now, actions);
        },
        event);
    return actions;
}

Heartbeat MembershipTable::nextHeartbeat()
{
    ++m_self.sequence;
    return m_self;
}

const Heartbeat &MembershipTable::self() const
{
    return m_self;
}

const std::map<HostId, HostRecord> &MembershipTable::hosts() const
{
    return m_hosts;
}

DataCentreRoster MembershipTable::roster() const
{
    DataCentreRoster roster{.dataCentre = m_self.dataCentre, .region = m_self.region, .hosts = {}};
    roster.hosts.emplace(m_self.host, statusOf(m_self));
    for (const auto &[host, record] : m_hosts) {
        if (isInOwnDataCentre(record) && record.status.state != HostState::Listed) {
            roster.hosts.emplace(host, claimOf(record));
        }
    }
    return roster;
}

std::string MembershipTable::loadOf(const DataCentreId &dataCentre) const
{
    const auto remote = m_remoteDataCentres.find(dataCentre);
    return remote == m_remoteDataCentres.end() ? std::string() : remote->second.loadSummary;
}

bool MembershipTable::isReachable(const DataCentreId &dataCentre) const
{
    const auto remote = m_remoteDataCentres.find(dataCentre);
    return dataCentre == m_self.dataCentre || (remote != m_remoteDataCentres.end() && remote->second.reachable);
}

void MembershipTable::on(const HeartbeatReceived &event, TimePoint now, Actions &actions)
{
    accept(event.heartbeat, now, actions);
    for (const DataCentreDigest &digest : event.heartbeat.digests) {
        on(DigestReceived{digest}, now, actions);
    }
}

void MembershipTable::on(const DigestReceived &event, TimePoint now, Actions &actions)
{
    const DataCentreDigest &digest = event.digest;
    for (const HostStatus &claim : digest.hosts) {
        mergeClaim(claim, now, actions);
    }
    if (digest.dataCentre == m_self.dataCentre) {
        return;
    }
    // A relayed or repeated copy must not keep a data centre reachable, so only a newer digest of its sender counts.
    RemoteDataCentre &remote
        = m_remoteDataCentres.try_emplace(digest.dataCentre, RemoteDataCentre{.lastDigest = now, .senders = {}, .loadSummary = {}}).first->second;
    auto &last = remote.senders[digest.sender];
    const std::pair digestNumber{digest.senderIncarnation, digest.sequence};
    if (digestNumber <= last) {
        return;
    }
    last = digestNumber;
    remote.lastDigest = now;
    remote.probing = false;
    remote.loadSummary = digest.loadSummary;
    if (!remote.reachable) {
        remote.reachable = true;
        actions.emplace_back(DataCentreReachable{digest.dataCentre});
    }
}

void MembershipTable::on(const RosterReceived &event, TimePoint now, Actions &actions)
{
    for (const auto &[host, claim] : event.roster.hosts) {
        mergeClaim(claim, now, actions);
    }
}

void MembershipTable::on(const HostListReceived &event, TimePoint now, Actions &actions)
{
    for (auto &[host, record] : m_hosts) {
        record.listed = false;
    }
    for (const ListedHost &listed : event.hosts) {
        if (listed.host == m_self.host) {
            continue;
        }
        const auto [entry, added] = m_hosts.try_emplace(listed.host);
        HostRecord &record = entry->second;
        record.listed = true;
        // The list may be out of date, so it only adds hosts and never changes an observed state.
        if (added) {
            record.status = {.host = listed.host,
                             .state = listed.leaving ? HostState::Leaving : HostState::Listed,
                             .dataCentre = listed.dataCentre,
                             .region = listed.region,
                             .address = listed.address,
                             .port = listed.port};
            record.leaving = listed.leaving;
            record.lastHeard = now;
            record.lastChange = now;
            if (isInOwnDataCentre(record)) {
                startProbes(record, ProbeCause::Listed, now, actions);
            }
        }
    }
}

void MembershipTable::on(const ProbeAnswered &event, TimePoint now, Actions &actions)
{
    const auto entry = m_hosts.find(event.host);
    const bool current = entry != m_hosts.end() && entry->second.probes && event.probe >= entry->second.probes->first;
    if (!current) {
        // A late answer is treated as a heartbeat, which is ignored if its sequence is old.
        accept(event.answer, now, actions);
        return;
    }
    HostRecord &record = entry->second;
    if (event.answer.host != event.host) {
        // Another host now uses the address, so the probed process has ended.
        record.probes.reset();
        setState(record, HostState::Dead, now, actions);
        finishRenewalOf(event.host, actions);
        accept(event.answer, now, actions);
        return;
    }
    if (event.answer.incarnation < record.status.incarnation) {
        return;
    }
    // An answer may carry an older sequence than a heartbeat that overtook it; it still proves that the host is alive.
    const bool wasConnected = record.status.state != HostState::Listed && record.status.state != HostState::Dead && causedByObservation(record.probes->cause);
    const bool sameProcess = event.answer.incarnation == record.status.incarnation;
    Heartbeat answer = event.answer;
    if (sameProcess) {
        answer.sequence = std::max(answer.sequence, record.status.sequence);
        answer.leaving = answer.leaving || record.leaving;
    }
    adopt(record, answer, now, actions);
    if (wasConnected && sameProcess) {
        actions.emplace_back(ReplaceConnection{event.host});
    }
    finishRenewalOf(event.host, actions);
}

void MembershipTable::on(const ProbeFailed &event, TimePoint now, Actions &actions)
{
    const auto entry = m_hosts.find(event.host);
    if (entry == m_hosts.end() || !entry->second.probes || entry->second.probes->current != event.probe || !entry->second.probes->waiting) {
        return;
    }
    probeFailed(entry->second, now, actions);
}

void MembershipTable::on(const ConnectionBroken &event, TimePoint now, Actions &actions)
{
    const auto entry = m_hosts.find(event.host);
    if (entry != m_hosts.end() && entry->second.status.state != HostState::Dead) {
        startProbes(entry->second, ProbeCause::Connection, now, actions);
    }
}

void MembershipTable::on(const ExpectationsChanged &event, TimePoint, Actions &)
{
    m_expectations = event;
}

void MembershipTable::on(const LocalRevisionChanged &event, TimePoint, Actions &)
{
    m_self.revision = std::max(m_self.revision, event.revision);
}

void MembershipTable::on(const LocalLeaving &, TimePoint, Actions &)
{
    m_self.leaving = true;
}

void MembershipTable::on(const ViewExpired &, TimePoint now, Actions &actions)
{
    m_renewing = true;
    m_pendingRenewals.clear();
    for (auto &[dataCentre, remote] : m_remoteDataCentres) {
        remote.lastDigest = now;
        remote.probing = false;
    }
    for (auto &[host, record] : m_hosts) {
        // Silence and unanswered probes during the pause prove nothing about the other hosts.
        const bool wasProbed = record.probes.has_value();
        record.probes.reset();
        record.lastHeard = now;
        if (record.status.state == HostState::Dead || (!isInOwnDataCentre(record) && !wasProbed)) {
            continue;
        }
        startProbes(record, ProbeCause::Renewal, now, actions);
        if (isInOwnDataCentre(record)) {
            m_pendingRenewals.insert(host);
        }
    }
    finishRenewalOf(HostId(), actions);
}

void MembershipTable::on(const MembershipTick &, TimePoint now, Actions &actions)
{
    for (auto &[host, record] : m_hosts) {
        tickHost(record, now, actions);
    }
    for (auto &[dataCentre, remote] : m_remoteDataCentres) {
        tickDataCentre(dataCentre, remote, now, actions);
    }
    forgetDead(now);
}

bool MembershipTable::isInOwnDataCentre(const HostRecord &record) const
{
    return record.status.dataCentre == m_self.dataCentre;
}

Duration MembershipTable::silenceLimit(const HostId &host) const
{
    const Duration interval = m_expectations.watched.contains(host) ? m_expectations.watchInterval : m_expectations.meshInterval;
    return interval * m_settings.silentIntervals;
}

bool MembershipTable::accept(const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    if (heartbeat.host == m_self.host) {
        if (heartbeat.incarnation > m_self.incarnation) {
            actions.emplace_back(LocalHostReplaced{heartbeat.incarnation});
        }
        return false;
    }
    const auto [entry, added] = m_hosts.try_emplace(heartbeat.host);
    HostRecord &record = entry->second;
    if (added) {
        record.status = statusOf(heartbeat);
        record.status.state = HostState::Listed;
        record.status.sequence = 0;
    }
    const HostStatus claim = statusOf(heartbeat);
    const bool newer = claim.incarnation > record.status.incarnation
        || (claim.incarnation == record.status.incarnation && (claim.sequence > record.status.sequence || record.status.state == HostState::Listed));
    if (!newer) {
        return false;
    }
    adopt(record, heartbeat, now, actions);
    finishRenewalOf(heartbeat.host, actions);
    if (added) {
        probeOtherHostsAtAddress(heartbeat, now, actions);
    }
    return true;
}

void MembershipTable::adopt(HostRecord &record, const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    if (heartbeat.incarnation > record.status.incarnation) {
        const bool known = record.status.state != HostState::Listed && record.status.state != HostState::Dead && record.status.incarnation != 0;
        if (known) {
            setState(record, HostState::Dead, now, actions);
        }
        record.status.state = HostState::Listed;
        record.leaving = false;
        record.loadSummary.clear();
    }
    const HostState before = record.status.state;
    record.status = statusOf(heartbeat);
    record.status.state = before;
    // Leaving is final within an incarnation.
    record.leaving = record.leaving || heartbeat.leaving;
    record.probes.reset();
    record.lastHeard = now;
    if (!heartbeat.loadSummary.empty()) {
        record.loadSummary = heartbeat.loadSummary;
    }
    setState(record, record.leaving ? HostState::Leaving : HostState::Alive, now, actions);
    compareRevision(heartbeat, now, actions);
}

void MembershipTable::mergeClaim(const HostStatus &claim, TimePoint now, Actions &actions)
{
    if (claim.host == m_self.host) {
        refute(claim);
        return;
    }
    const auto [entry, added] = m_hosts.try_emplace(claim.host);
    HostRecord &record = entry->second;
    if (added) {
        record.status = claim;
        record.status.incarnation = 0;
        record.status.sequence = 0;
        record.status.state = HostState::Listed;
        record.lastHeard = now;
        record.lastChange = now;
    }
    if (isInOwnDataCentre(record)) {
        const bool livenessUnknown = record.status.state == HostState::Listed || record.status.state == HostState::Dead;
        const bool claimsLive = claim.state == HostState::Alive || claim.state == HostState::Leaving;
        const bool claimsFailed = claim.state == HostState::Suspect || claim.state == HostState::Dead;
        const bool disagrees
            = livenessUnknown ? claimsLive && supersedes(claim, claimOf(record)) : claimsFailed && claim.incarnation >= record.status.incarnation;
        if (disagrees) {
            startProbes(record, ProbeCause::Claim, now, actions);
        }
        return;
    }
    if (!supersedes(claim, record.status)) {
        return;
    }
    if (claim.incarnation > record.status.incarnation) {
        if (record.status.state != HostState::Listed && record.status.state != HostState::Dead) {
            setState(record, HostState::Dead, now, actions);
        }
        record.status.state = HostState::Listed;
        record.leaving = false;
    }
    const HostState before = record.status.state;
    record.status = claim;
    record.status.state = before;
    record.leaving = record.leaving || claim.state == HostState::Leaving;
    record.probes.reset();
    setState(record, record.leaving && claim.state == HostState::Alive ? HostState::Leaving : claim.state, now, actions);
}

void MembershipTable::refute(const HostStatus &claim)
{
    const bool wrong = claim.state == HostState::Suspect || claim.state == HostState::Dead;
    if (wrong && claim.incarnation == m_self.incarnation) {
        m_self.sequence = std::max(m_self.sequence, claim.sequence);
    }
}

void MembershipTable::setState(HostRecord &record, HostState state, TimePoint now, Actions &actions)
{
    if (record.status.state == state) {
        return;
    }
    actions.emplace_back(HostStateChanged{.host = record.status.host, .incarnation = record.status.incarnation, .before = record.status.state, .now = state});
    record.status.state = state;
    record.lastChange = now;
}

void MembershipTable::startProbes(HostRecord &record, ProbeCause cause, TimePoint now, Actions &actions)
{
    const bool waitingToRejoin
        = record.probes && !record.probes->waiting && (record.status.state == HostState::Dead || record.status.state == HostState::Listed);
    if (record.probes && !waitingToRejoin) {
        return;
    }
    record.probes.emplace(HostProbes{.cause = cause, .first = m_lastProbe + 1, .current = m_lastProbe + 1, .due = now});
    sendProbe(record, now, actions);
}

void MembershipTable::sendProbe(HostRecord &record, TimePoint now, Actions &actions)
{
    record.probes->current = ++m_lastProbe;
    record.probes->waiting = true;
    record.probes->due = now + m_settings.probeTimeout;
    actions.emplace_back(ProbeHost{.host = record.status.host, .probe = record.probes->current, .address = record.status.address, .port = record.status.port});
}

void MembershipTable::probeFailed(HostRecord &record, TimePoint now, Actions &actions)
{
    HostProbes &probes = *record.probes;
    probes.waiting = false;
    ++probes.failed;
    finishRenewalOf(record.status.host, actions);
    if (record.status.state == HostState::Listed || record.status.state == HostState::Dead) {
        probes.due = now + m_settings.rejoinProbeInterval;
        return;
    }
    probes.due = now + m_settings.probeInterval;
    if (record.status.state != HostState::Suspect) {
        setState(record, HostState::Suspect, now, actions);
        // A host that probed because of a claim does not broadcast it again; otherwise the messages per failure would grow with the square of the hosts.
        if (isInOwnDataCentre(record) && causedByObservation(probes.cause)) {
            actions.emplace_back(SpreadSuspicion{record.status});
        }
    } else if (now - record.lastChange >= m_settings.deadAfter && probes.failed >= m_settings.probesBeforeDeath) {
        setState(record, HostState::Dead, now, actions);
        record.probes.reset();
    }
}

void MembershipTable::probeOtherHostsAtAddress(const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    for (auto &[host, record] : m_hosts) {
        const bool sameAddress = record.status.address == heartbeat.address && record.status.port == heartbeat.port;
        if (sameAddress && host != heartbeat.host && record.status.state != HostState::Dead) {
            startProbes(record, ProbeCause::Claim, now, actions);
        }
    }
}

void MembershipTable::compareRevision(const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    const bool fetchedRecently = heartbeat.revision <= m_fetchedRevision && now - m_fetchedAt < m_settings.fetchRetry;
    if (heartbeat.revision > m_self.revision && !fetchedRecently) {
        m_fetchedRevision = heartbeat.revision;
        m_fetchedAt = now;
        actions.emplace_back(FetchConfiguration{.host = heartbeat.host, .revision = heartbeat.revision});
    }
}

void MembershipTable::tickHost(HostRecord &record, TimePoint now, Actions &actions)
{
    if (record.probes) {
        if (now < record.probes->due) {
            return;
        }
        if (record.probes->waiting) {
            probeFailed(record, now, actions);
        } else {
            sendProbe(record, now, actions);
        }
        return;
    }
    if (!isInOwnDataCentre(record)) {
        return;
    }
    const bool gone = record.status.state == HostState::Dead || record.status.state == HostState::Listed;
    const bool silent = !gone && now - record.lastHeard > silenceLimit(record.status.host);
    const bool rejoin = gone && now - record.lastChange >= m_settings.rejoinProbeInterval;
    if (silent || rejoin) {
        startProbes(record, silent ? ProbeCause::Silence : ProbeCause::Listed, now, actions);
    }
}

void MembershipTable::tickDataCentre(const DataCentreId &id, RemoteDataCentre &remote, TimePoint now, Actions &actions)
{
    if (!remote.reachable || now - remote.lastDigest <= m_expectations.digestInterval * m_settings.silentDigests) {
        return;
    }
    std::vector<std::pair<std::uint64_t, HostRecord *>> candidates;
    for (auto &[host, record] : m_hosts) {
        if (record.status.dataCentre == id && record.status.state != HostState::Dead) {
            candidates.emplace_back(rendezvousScore(m_self.host.value(), host.value()), &record);
        }
    }
    const std::size_t count = std::min(maxRemoteProbes, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), std::greater<>());
    candidates.resize(count);
    if (!remote.probing) {
        remote.probing = true;
        for (const auto &[score, record] : candidates) {
            startProbes(*record, ProbeCause::Silence, now, actions);
        }
    }
    const auto failed = [](const auto &candidate) {
        return candidate.second->probes && candidate.second->probes->failed > 0;
    };
    const bool anyAnswered = std::any_of(candidates.begin(), candidates.end(), [](const auto &candidate) {
        return !candidate.second->probes;
    });
    if (anyAnswered) {
        remote.lastDigest = now;
        remote.probing = false;
    } else if (std::all_of(candidates.begin(), candidates.end(), failed)) {
        remote.reachable = false;
        remote.probing = false;
        actions.emplace_back(DataCentreUnreachable{id});
    }
}

void MembershipTable::forgetDead(TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto &entry) {
        const HostRecord &record = entry.second;
        const bool gone = record.status.state == HostState::Dead || record.status.state == HostState::Listed;
        return gone && !record.listed && now - record.lastChange > m_settings.forgetAfter;
    });
    for (auto &[dataCentre, remote] : m_remoteDataCentres) {
        std::erase_if(remote.senders, [&](const auto &entry) {
            return !m_hosts.contains(entry.first);
        });
    }
}

void MembershipTable::finishRenewalOf(const HostId &host, Actions &actions)
{
    m_pendingRenewals.erase(host);
    if (m_renewing && m_pendingRenewals.empty()) {
        m_renewing = false;
        actions.emplace_back(ViewRenewed{});
    }
}

}
