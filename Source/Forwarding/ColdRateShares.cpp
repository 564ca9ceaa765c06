#include "Forwarding/ColdRateShares.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Mangofall::Forwarding {

namespace {

constexpr std::chrono::milliseconds callInterval{200};
// Of the members an eighth is asked, then a quarter, a half and all.
constexpr std::array<std::size_t, 4> levelDivisors{8, 4, 2, 1};
// The answers to the last calls take about as long.
constexpr std::chrono::milliseconds raiseInterval{50};
// For as long the shares must have been enough.
constexpr std::chrono::seconds lowerInterval{2};
// Two calls may be lost or late, as at a host that has used up its processor quota.
constexpr std::chrono::milliseconds loanTime{600};
// The rate of a cold upstream counts requests of one second.
constexpr std::chrono::seconds rateWindow{1};
// A host that answers none of several calls for so long would let placement requests wait as well.
constexpr std::chrono::seconds silenceTime{1};
constexpr unsigned silentCalls = 3;

}

ColdRateShares::ColdRateShares(HostId self)
    : m_self(std::move(self))
{
}

bool ColdRateShares::lend(const ServiceId &service, const HostId &host, TimePoint now)
{
    const auto given = m_given.find(service);
    if (given != m_given.end() && given->second.host != host && now < given->second.until) {
        return false;
    }
    m_given[service] = {host, now + loanTime + Placement::grantUseTime + rateWindow};
    return true;
}

std::map<HostId, std::vector<ServiceId>> ColdRateShares::takeCalls(const ColdServices &services, const std::vector<HostId> &members, TimePoint now)
{
    std::erase_if(m_demands, [&](const auto &demand) {
        return !services.contains(demand.first);
    });
    std::map<HostId, std::vector<ServiceId>> calls;
    for (const auto &[service, isShort] : services) {
        Demand &demand = m_demands.try_emplace(service, Demand{0, now, now + raiseInterval, now}).first->second;
        if (!updateDemand(demand, isShort, now)) {
            continue;
        }
        // The members that follow this host in the order of ids.
        const std::size_t count = (members.size() + levelDivisors.at(demand.level) - 1) / levelDivisors.at(demand.level);
        auto next = std::upper_bound(members.begin(), members.end(), m_self);
        for (std::size_t index = 0; index < count; ++index) {
            next = next == members.end() ? members.begin() : next;
            if (*next != m_self) {
                calls[*next].push_back(service);
            }
            ++next;
        }
    }
    for (const auto &[host, asked] : calls) {
        noteCall(m_called[host], now);
    }
    if (!calls.empty()) {
        std::erase_if(m_called, [&](const auto &called) {
            return !std::binary_search(members.begin(), members.end(), called.first);
        });
    }
    return calls;
}

void ColdRateShares::noteCall(Member &member, TimePoint now)
{
    if (now > member.calledAt + 2 * callInterval) {
        member.unansweredSince.reset();
    }
    if (!member.unansweredSince) {
        member.unansweredSince = now;
        member.unanswered = 0;
    }
    ++member.unanswered;
    member.calledAt = now;
}

bool ColdRateShares::updateDemand(Demand &demand, bool isShort, TimePoint now)
{
    bool isDue = now >= demand.nextCall;
    demand.keepUntil = isShort ? now + lowerInterval : demand.keepUntil;
    if (isShort && demand.level + 1 < levelDivisors.size() && now >= demand.nextRaise) {
        ++demand.level;
        demand.nextRaise = now + raiseInterval;
        isDue = true;
    } else if (demand.level > 0 && now >= demand.keepUntil) {
        --demand.level;
        demand.keepUntil = now + lowerInterval;
    }
    if (isDue) {
        demand.nextCall = now + callInterval;
    }
    return isDue;
}

void ColdRateShares::answered(const HostId &host)
{
    Member &member = m_called[host];
    member.unansweredSince.reset();
    member.hasAnswered = true;
}

void ColdRateShares::lent(const ServiceId &service, const HostId &host, TimePoint calledAt)
{
    TimePoint &until = m_received[service][host];
    until = std::max(until, calledAt + loanTime);
}

Placement::ColdShare ColdRateShares::share(const ServiceId &service, const std::vector<HostId> &members, TimePoint now)
{
    const bool selfListed = std::find(members.begin(), members.end(), m_self) != members.end();
    const std::size_t all = members.size() + (selfListed ? 0 : 1);
    if (all == 1) {
        return {};
    }
    Placement::ColdShare result{0, now + loanTime};
    std::size_t available = lend(service, m_self, now) ? 1 : 0;
    const std::map<HostId, TimePoint> &received = m_received[service];
    for (const HostId &member : members) {
        const auto loan = received.find(member);
        if (member != m_self && loan != received.end() && now < loan->second) {
            ++available;
            result.until = std::min(result.until, loan->second);
        }
    }
    result.fraction = static_cast<double>(available) / static_cast<double>(all);
    return result;
}

std::vector<HostId> ColdRateShares::takeSilent(TimePoint now)
{
    std::vector<HostId> silent;
    for (auto &[host, member] : m_called) {
        const bool isOverdue = member.unansweredSince && now >= *member.unansweredSince + silenceTime;
        if (member.hasAnswered && isOverdue && member.unanswered >= silentCalls) {
            member.unansweredSince.reset();
            silent.push_back(host);
        }
    }
    return silent;
}

void ColdRateShares::forgetLoans()
{
    m_received.clear();
}

void ColdRateShares::expire(TimePoint now)
{
    std::erase_if(m_given, [now](const auto &loan) {
        return now >= loan.second.until;
    });
    for (auto &[service, loans] : m_received) {
        std::erase_if(loans, [now](const auto &loan) {
            return now >= loan.second;
        });
    }
    std::erase_if(m_received, [](const auto &loans) {
        return loans.second.empty();
    });
}

}
