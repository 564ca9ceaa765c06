// The part of FleetPlacement that concerns the shares of hosts in the rates of cold upstreams.
#include "Forwarding/FleetPlacement.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Telemetry/EventLog.h"

#include <algorithm>
#include <chrono>
#include <iterator>

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
