#include "Forwarding/FleetPeers.h"

#include "Forwarding/RelayTargets.h"
#include "Peer/PeerLink.h"
#include "Telemetry/EventLog.h"

namespace Mangofall::Forwarding {

namespace {

// Fewer would let a host that goes on after a pause find many connections of each peer.
constexpr unsigned maxUnansweredProbes = 3;

void logChanges(EventLog &log, const FleetMembership::Changes &changes)
{
    for (const MembershipChange &change : changes) {
        switch (change.kind) {
        case MembershipChange::Kind::Unlisted:
            log.write("peer_unlisted", {{"peer", change.host.value()}});
            break;
        case MembershipChange::Kind::Listed:
            log.write("peer_listed_again", {{"peer", change.host.value()}});
            break;
        case MembershipChange::Kind::Dropped:
            if (change.cause != MembershipChange::Cause::NotKept) {
                log.write("peer_dropped", {{"peer", change.host.value()}, {"cause", name(change.cause)}});
            }
            break;
        }
    }
}

}

FleetPeers::FleetPeers(HostId self, Duration keepUnlisted, PeerConnections &connections, EventLog &log, Greeting greeting)
    : m_self(self)
    , m_connections(connections)
    , m_log(log)
    , m_greeting(std::move(greeting))
    , m_membership(keepUnlisted)
    , m_owners(std::move(self))
{
}

std::vector<HostId> FleetPeers::setListed(const std::vector<FleetHost> &hosts, TimePoint now)
{
    return apply(m_membership.setListed(hosts, now));
}

std::vector<HostId> FleetPeers::expire(TimePoint now)
{
    m_owners.expireDeclines(now);
    const FleetMembership::Changes changes = m_membership.expire(now);
    return changes.empty() ? std::vector<HostId>() : apply(changes);
}

std::vector<HostId> FleetPeers::silent(const HostId &host, TimePoint now)
{
    m_log.write("owner_silent", {{"peer", host.value()}});
    m_owners.markUnresponsive(host, now);
    m_unansweredProbes.erase(host);
    closeLink(host);
    const FleetMembership::Changes changes = m_membership.unanswered(host);
    return changes.empty() ? std::vector<HostId>() : apply(changes);
}

void FleetPeers::answered(const HostId &host)
{
    m_owners.markResponsive(host);
    m_membership.answered(host);
}

void FleetPeers::probeAnswered(const HostId &host, TimePoint now)
{
    m_unansweredProbes.erase(host);
    m_owners.probeAnswered(host, now);
    if (!m_owners.isSkipped(host)) {
        m_membership.answered(host);
    }
}

void FleetPeers::declined(const HostId &host, TimePoint until, const char *event)
{
    if (!m_owners.isSkipped(host)) {
        m_log.write(event, {{"peer", host.value()}});
    }
    m_owners.markDeclined(host, until);
}

const OwnerSelector &FleetPeers::owners() const
{
    return m_owners;
}

PeerLink &FleetPeers::link(const HostId &host)
{
    const bool isNew = !m_connections.hasLink(host);
    PeerLink &link = m_connections.link(host, m_members.at(host).address);
    if (isNew) {
        if (std::optional<Wire::CrashUpdateT> greeting = m_greeting()) {
            link.send(toPeerMessage(std::move(*greeting)));
        }
    }
    return link;
}

void FleetPeers::sendToMember(const HostId &host, Wire::PeerMessageT &&message)
{
    if (m_members.contains(host)) {
        link(host).send(std::move(message));
    }
}

void FleetPeers::closeLink(const HostId &host)
{
    if (const std::shared_ptr<PeerLink> link = m_connections.removeLink(host)) {
        link->closeSilently();
    }
}

void FleetPeers::sendProbes(TimePoint now)
{
    for (const HostId &host : m_owners.takeDueProbes(now)) {
        unsigned &unanswered = m_unansweredProbes[host];
        if (unanswered >= maxUnansweredProbes) {
            closeLink(host);
            unanswered = 0;
        }
        ++unanswered;
        sendToMember(host, toPeerMessage(Wire::MembershipProbeT()));
    }
}

void FleetPeers::connectRelays()
{
    for (const HostId &target : relayTargets(memberIds(), m_self)) {
        if (!m_owners.isSkipped(target) && !m_connections.answerConnection(target)) {
            link(target);
        }
    }
}

std::vector<HostId> FleetPeers::memberIds() const
{
    std::vector<HostId> hosts;
    hosts.reserve(m_members.size());
    for (const auto &[id, host] : m_members) {
        hosts.push_back(id);
    }
    return hosts;
}

bool FleetPeers::isMember(const HostId &host) const
{
    return m_members.contains(host);
}

bool FleetPeers::alone() const
{
    return m_members.size() <= 1;
}

std::size_t FleetPeers::listedCount() const
{
    return m_membership.listedCount() + (m_members.contains(m_self) ? 0 : 1);
}

std::size_t FleetPeers::unlistedCount() const
{
    return m_membership.unlistedCount();
}

bool FleetPeers::declining() const
{
    return m_owners.isSkipped(m_self);
}

std::vector<HostId> FleetPeers::apply(const FleetMembership::Changes &changes)
{
    logChanges(m_log, changes);
    const std::vector<FleetHost> members = m_membership.members();
    std::map<HostId, FleetHost> next;
    for (const FleetHost &host : members) {
        next[host.id] = host;
    }
    std::vector<HostId> lost;
    for (const auto &[id, known] : m_members) {
        const auto position = next.find(id);
        const bool isMember = position != next.end() && isSameProcess(position->second, known);
        // This host may find the entry of its own former process, which tells nothing about its requests.
        if (!isMember && id != m_self) {
            lost.push_back(id);
        }
    }
    m_members = std::move(next);
    m_owners.setHosts(members);
    for (const HostId &host : lost) {
        // A link that is still connecting would greet the new process, which would then answer on a connection that no longer belongs to a link.
        closeLink(host);
        m_unansweredProbes.erase(host);
    }
    return lost;
}

}
