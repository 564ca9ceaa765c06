#include "Forwarding/OwnershipGate.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Forwarding {

OwnershipGate::OwnershipGate(const OwnershipLimits &limits)
    : m_limits(limits)
{
}

void OwnershipGate::setServices(std::set<ServiceId> services)
{
    m_services = std::move(services);
}

void OwnershipGate::startLeaving()
{
    m_leaving = true;
}

OwnershipDecision
OwnershipGate::decide(const Placement::PlacementRequest &request, const std::optional<StoreViewStatus> &caller, const StoreViewStatus &own, TimePoint now)
{
    if (caller) {
        noteCaller(*caller, own, now);
    }
    const OwnershipDecision decision = judge(request, own, now);
    const bool tooMany = decision == OwnershipDecision::Defer && !keep(request);
    return tooMany ? OwnershipDecision::Decline : decision;
}

Duration OwnershipGate::declineTime() const
{
    if (m_leaving) {
        return m_limits.leavingDeclineTime;
    }
    return m_unread ? m_limits.unreadDeclineTime : m_limits.declineTime;
}

std::vector<std::pair<Placement::PlacementRequest, OwnershipDecision>> OwnershipGate::takeDecided(const StoreViewStatus &own, TimePoint now)
{
    std::vector<std::pair<Placement::PlacementRequest, OwnershipDecision>> decided;
    std::erase_if(m_kept, [&](const Placement::PlacementRequest &request) {
        const OwnershipDecision decision = judge(request, own, now);
        if (decision == OwnershipDecision::Defer) {
            return false;
        }
        decided.emplace_back(request, decision);
        return true;
    });
    return decided;
}

void OwnershipGate::remove(const Placement::PlacementRequestId &id)
{
    std::erase_if(m_kept, [&](const Placement::PlacementRequest &request) {
        return request.id == id;
    });
}

void OwnershipGate::removeHost(const HostId &host)
{
    std::erase_if(m_kept, [&](const Placement::PlacementRequest &request) {
        return request.id.host == host;
    });
}

bool OwnershipGate::keepsAny() const
{
    return !m_kept.empty();
}

OwnershipDecision OwnershipGate::judge(const Placement::PlacementRequest &request, const StoreViewStatus &own, TimePoint now)
{
    m_unread = !own.known();
    if (m_leaving || isStale(own, now)) {
        return OwnershipDecision::Decline;
    }
    if (!own.known()) {
        m_askedUnreadAt = m_askedUnreadAt.value_or(now);
        return now < *m_askedUnreadAt + m_limits.firstReadWait ? OwnershipDecision::Defer : OwnershipDecision::Decline;
    }
    const bool unknown = !m_services.contains(request.service) && now < request.arrivedAt + m_limits.unknownServiceWait;
    return unknown ? OwnershipDecision::Defer : OwnershipDecision::Place;
}

bool OwnershipGate::keep(const Placement::PlacementRequest &request)
{
    const bool isKept = std::any_of(m_kept.begin(), m_kept.end(), [&](const Placement::PlacementRequest &kept) {
        return kept.id == request.id;
    });
    if (!isKept && m_kept.size() >= m_limits.maxDeferred) {
        return false;
    }
    if (!isKept) {
        m_kept.push_back(request);
    }
    return true;
}

void OwnershipGate::noteCaller(const StoreViewStatus &caller, const StoreViewStatus &own, TimePoint now)
{
    const bool newer = caller.known() && isNewer(caller, own) && own.age >= caller.age + m_limits.staleAfter;
    if (newer && (!m_newest || !isNewer(m_newest->status, caller))) {
        m_newest = NewerView{caller, now};
    }
}

bool OwnershipGate::isStale(const StoreViewStatus &own, TimePoint now)
{
    if (!isBehind(own, now)) {
        m_behindSince.reset();
        return false;
    }
    m_behindSince = m_behindSince.value_or(now);
    return now >= *m_behindSince + m_limits.catchUpTime;
}

bool OwnershipGate::isBehind(const StoreViewStatus &own, TimePoint now) const
{
    if (!m_newest || !own.known() || now >= m_newest->seenAt + m_limits.newerViewMemory || !isNewer(m_newest->status, own)) {
        return false;
    }
    // Both as times at which the view was current. A view that the store has confirmed since then is not stale, whatever its revision.
    const TimePoint newestCurrentAt = m_newest->seenAt - m_newest->status.age;
    return now - own.age + m_limits.staleAfter <= newestCurrentAt;
}

}
