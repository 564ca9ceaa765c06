// The part of FleetPlacement that concerns the rates of cold upstreams: the shares of hosts in them, and grants that are read late.
#include "Forwarding/FleetPlacement.h"
#include "Forwarding/WirePlacement.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Telemetry/EventLog.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>

namespace Mangofall::Forwarding {

namespace {

// Steady time, which only the host that has sent it reads.
std::uint64_t toMicroseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

}

void FleetPlacement::updateColdShares(TimePoint now)
{
    m_shares.expire(now);
    ColdRateShares::ColdServices cold = m_table.coldServices(now);
    std::erase_if(cold, [this](const auto &service) {
        return !m_owned.owns(service.first);
    });
    const std::vector<HostId> members = cold.empty() ? std::vector<HostId>() : m_peers.memberIds();
    std::map<ServiceId, Placement::ColdShare> shares;
    for (const auto &[service, isShort] : cold) {
        shares[service] = m_shares.share(service, members, now);
    }
    m_table.setColdShares(shares);
    m_coldShareLog.update(shares, now, m_log);
    std::vector<HostId> responsive;
    std::copy_if(members.begin(), members.end(), std::back_inserter(responsive), [this](const HostId &member) {
        return !m_peers.owners().isUnresponsive(member);
    });
    for (const auto &[member, services] : m_shares.takeCalls(cold, responsive, now)) {
        callForShares(member, services, now);
    }
}

void FleetPlacement::callForShares(const HostId &member, const std::vector<ServiceId> &services, TimePoint now)
{
    Wire::ColdShareCallT call;
    call.sent_us = toMicroseconds(now);
    for (const ServiceId &service : services) {
        call.services.push_back(service.value());
    }
    m_peers.sendToMember(member, toPeerMessage(std::move(call)));
}

void FleetPlacement::onColdShareCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::ColdShareCallT &call)
{
    const TimePoint now = std::chrono::steady_clock::now();
    Wire::ColdShareAnswerT answer;
    answer.sent_us = call.sent_us;
    for (const std::string &service : call.services) {
        const ServiceId id(service);
        if (m_peers.owners().owner(id) == from && m_shares.lend(id, from, now)) {
            answer.services.push_back(service);
        }
    }
    connection->send(toPeerMessage(std::move(answer)));
}

// The next tick uses the loans.
void FleetPlacement::onColdShareAnswer(const HostId &from, const Wire::ColdShareAnswerT &answer)
{
    m_shares.answered(from);
    const TimePoint now = std::chrono::steady_clock::now();
    if (answer.sent_us > toMicroseconds(now)) {
        return;
    }
    const TimePoint calledAt(std::chrono::duration_cast<Duration>(std::chrono::microseconds(answer.sent_us)));
    for (const std::string &service : answer.services) {
        m_shares.lent(ServiceId(service), from, calledAt);
    }
}

Wire::PlacementAnswerT FleetPlacement::grantAnswer(const Placement::Grant &grant, const CallRecord &call) const
{
    Wire::PlacementAnswerT answer = toWire(grant);
    setCall(answer, call, m_table.isCold(grant.assignment.upstream, std::chrono::steady_clock::now()), bootTime());
    return answer;
}

// The upstream may have turned cold after the grant.
bool FleetPlacement::handBackOldGrant(LocalPlacement &placement, const HostId &from, const Wire::PlacementAnswerT &answer)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::optional<Duration> age = grantAge(answer, bootTime());
    if (!age || *age <= Placement::grantUseTime || (!answer.cold && !m_table.isCold(UpstreamId(answer.upstream), now))) {
        return false;
    }
    m_log.write("cold_grant_handed_back",
                {{"peer", from.value()},
                 {"demand", std::to_string(answer.number)},
                 {"age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count())}});
    m_peers.sendToMember(from, toPeerMessage(endReport(placement.placementRequest.id, Placement::GrantOutcome::Cancelled, std::nullopt)));
    placement.queued = false;
    requestAssignment(placement, now);
    return true;
}

void FleetPlacement::passOverSilentMembers(TimePoint now)
{
    for (const HostId &host : m_shares.takeSilent(now)) {
        if (m_peers.isMember(host) && !m_peers.owners().isSkipped(host)) {
            m_log.write("cold_share_unanswered", {{"peer", host.value()}});
            onOwnerSilent(host, now);
        }
    }
}

}
