#include "Forwarding/FleetMembership.h"

#include <algorithm>
#include <set>

namespace Mangofall::Forwarding {

using Kind = MembershipChange::Kind;
using Cause = MembershipChange::Cause;

FleetMembership::FleetMembership(Duration keepUnlisted)
    : m_keepUnlisted(keepUnlisted)
{
}

FleetMembership::Changes FleetMembership::setListed(const std::vector<FleetHost> &hosts, TimePoint now)
{
    Changes changes;
    std::set<HostId> present;
    for (const FleetHost &host : hosts) {
        present.insert(host.id);
        list(host, changes);
    }
    for (auto &[id, member] : m_members) {
        if (member.listed && !present.contains(id)) {
            changes.push_back(unlist(member, now));
        }
    }
    applyDrops(changes);
    return changes;
}

FleetMembership::Changes FleetMembership::unanswered(const HostId &host)
{
    const auto position = m_members.find(host);
    if (position == m_members.end()) {
        return {};
    }
    position->second.silent = true;
    if (position->second.listed) {
        return {};
    }
    m_members.erase(position);
    return {{host, Kind::Dropped, Cause::Silent}};
}

void FleetMembership::answered(const HostId &host)
{
    const auto position = m_members.find(host);
    if (position != m_members.end()) {
        position->second.silent = false;
    }
}

FleetMembership::Changes FleetMembership::expire(TimePoint now)
{
    Changes changes;
    for (const auto &[id, member] : m_members) {
        if (!member.listed && now >= member.unlistedAt + m_keepUnlisted) {
            changes.push_back({id, Kind::Dropped, Cause::Expired});
        }
    }
    applyDrops(changes);
    return changes;
}

std::vector<FleetHost> FleetMembership::members() const
{
    std::vector<FleetHost> hosts;
    hosts.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        hosts.push_back(member.host);
    }
    return hosts;
}

std::size_t FleetMembership::listedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.listed && !entry.second.host.leaving;
    }));
}

std::size_t FleetMembership::unlistedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return !entry.second.listed;
    }));
}

void FleetMembership::list(const FleetHost &host, Changes &changes)
{
    Member &member = m_members[host.id];
    if (!member.listed) {
        changes.push_back({host.id, Kind::Listed, Cause::None});
    }
    member.silent = member.silent && isSameProcess(member.host, host);
    member.host = host;
    member.listed = true;
}

MembershipChange FleetMembership::unlist(Member &member, TimePoint now) const
{
    if (m_keepUnlisted == Duration::zero()) {
        return {member.host.id, Kind::Dropped, Cause::NotKept};
    }
    if (member.host.leaving) {
        return {member.host.id, Kind::Dropped, Cause::Left};
    }
    if (member.silent) {
        return {member.host.id, Kind::Dropped, Cause::Silent};
    }
    member.listed = false;
    member.unlistedAt = now;
    return {member.host.id, Kind::Unlisted, Cause::None};
}

void FleetMembership::applyDrops(const Changes &changes)
{
    for (const MembershipChange &change : changes) {
        if (change.kind == Kind::Dropped) {
            m_members.erase(change.host);
        }
    }
}

const char *name(Cause cause)
{
    switch (cause) {
    case Cause::None:
        return "none";
    case Cause::Silent:
        return "silent";
    case Cause::Left:
        return "left";
    case Cause::Expired:
        return "expired";
    case Cause::NotKept:
        return "entry lapsed";
    }
    return "unknown";
}

}
