#include "Membership/HeartbeatSender.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Membership {

namespace {

/// Time of the first message to \p target; distributes the targets over the interval, so that their messages are not sent in one burst.
TimePoint firstDue(TimePoint now, Duration interval, const HostId &target)
{
    constexpr std::uint64_t steps = 1024;
    return now + interval * static_cast<Duration::rep>(hash64(target.value()) % steps) / static_cast<Duration::rep>(steps);
}

/// Sets when the next message is due after a change of plan; one that is already due earlier keeps its time.
void schedule(TimePoint &due, bool wanted, TimePoint now, Duration interval, const HostId &target)
{
    if (!wanted) {
        due = TimePoint::max();
    } else {
        due = due == TimePoint::max() ? firstDue(now, interval, target) : std::min(due, now + interval);
    }
}

}

HeartbeatSender::HeartbeatSender(MembershipTable &table)
    : m_table(table)
{
}

HeartbeatSender::Actions HeartbeatSender::handle(const SenderEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(
        [&](const auto &alternative) {
            on(alternative, now, actions);
        },
        event);
    return actions;
}

void HeartbeatSender::on(const PlanAdopted &event, TimePoint now, Actions &)
{
    const HostId &self = m_table.self().host;
    m_watchInterval = event.plan.watchInterval();
    m_meshInterval = event.plan.meshInterval(self);
    m_linkInterval = event.plan.linkInterval(self);
    const std::vector<HostId> mesh = event.plan.meshTargets(self);
    const std::set<HostId> watchers = event.plan.watchersOf(self);
    std::set<HostId> linked;
    for (const DataCentreLink &link : event.plan.linksFrom(self)) {
        linked.insert(link.to);
    }
    std::map<HostId, Target> targets;
    for (const HostId &host : mesh) {
        Target &target = targets[host] = m_targets[host];
        schedule(target.nextMesh, true, now, m_meshInterval, host);
        schedule(target.nextWatch, watchers.contains(host), now, m_watchInterval, host);
    }
    for (const HostId &host : linked) {
        Target &target = targets[host] = m_targets[host];
        schedule(target.nextLink, true, now, m_linkInterval, host);
    }
    m_targets = std::move(targets);
}

void HeartbeatSender::on(const LinkDigestReceived &event, TimePoint now, Actions &)
{
    m_relayedDigests[event.digest.dataCentre] = {event.digest, now};
}

void HeartbeatSender::on(const SenderTick &event, TimePoint now, Actions &actions)
{
    // A digest is relayed for one round, in which each peer gets one mesh heartbeat. Ticks delay the last of these by up to a watch interval.
    std::erase_if(m_relayedDigests, [&](const auto &entry) {
        return now - entry.second.second > m_meshInterval + m_watchInterval;
    });
    const bool due = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return now >= std::min({entry.second.nextMesh, entry.second.nextWatch, entry.second.nextLink});
    });
    if (!due) {
        return;
    }
    const Heartbeat shortHeartbeat = m_table.nextHeartbeat();
    Heartbeat fullHeartbeat = shortHeartbeat;
    fullHeartbeat.loadSummary = event.loadSummary;
    for (const auto &[dataCentre, relayed] : m_relayedDigests) {
        fullHeartbeat.digests.push_back(relayed.first);
    }
    std::optional<DataCentreDigest> digest;
    for (auto &[host, target] : m_targets) {
        if (now >= target.nextMesh) {
            actions.emplace_back(SendHeartbeat{host, fullHeartbeat});
            target.nextMesh = now + m_meshInterval;
            target.nextWatch = target.nextWatch == TimePoint::max() ? TimePoint::max() : now + m_watchInterval;
        } else if (now >= target.nextWatch) {
            actions.emplace_back(SendHeartbeat{host, shortHeartbeat});
            target.nextWatch = now + m_watchInterval;
        }
        if (now >= target.nextLink) {
            if (!digest) {
                digest = composeDigest(event.dataCentreLoadSummary, now);
            }
            actions.emplace_back(SendDigest{host, *digest});
            target.nextLink = now + m_linkInterval;
        }
    }
}

DataCentreDigest HeartbeatSender::composeDigest(const std::string &loadSummary, TimePoint now)
{
    // A change is repeated in several digests, because a digest is lost if its link fails.
    constexpr int digestsPerChange = 3;
    const Heartbeat &self = m_table.self();
    DataCentreDigest digest{.dataCentre = self.dataCentre,
                            .region = self.region,
                            .sender = self.host,
                            .senderIncarnation = self.incarnation,
                            .sequence = ++m_digestSequence,
                            .hosts = {},
                            .loadSummary = loadSummary};
    const DataCentreRoster roster = m_table.roster();
    std::multimap<TimePoint, HostId, std::greater<>> changed;
    for (const auto &[host, record] : m_table.hosts()) {
        if (roster.hosts.contains(host) && now - record.lastChange <= digestsPerChange * m_linkInterval) {
            changed.emplace(record.lastChange, host);
        }
    }
    // One claim is left for the rotation, so that frequent changes do not stop it.
    for (const auto &[at, host] : changed) {
        if (digest.hosts.size() + 1 < claimsPerDigest) {
            digest.hosts.push_back(roster.hosts.at(host));
        }
    }
    while (digest.hosts.size() < claimsPerDigest) {
        auto next = roster.hosts.upper_bound(m_lastRotated);
        next = next == roster.hosts.end() ? roster.hosts.begin() : next;
        m_lastRotated = next->first;
        digest.hosts.push_back(next->second);
    }
    return digest;
}

}
