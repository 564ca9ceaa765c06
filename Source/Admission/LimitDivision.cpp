#include "Admission/LimitDivision.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace Mangofall {

namespace {

Duration scaleDuration(Duration duration, double factor)
{
    return toDuration(Seconds(duration) * factor);
}

LimitUnits findLargestAmount(const auto &allocations)
{
    LimitUnits amount = 0;
    for (const auto &allocation : allocations) {
        amount = std::max(amount, allocation.amount);
    }
    return amount;
}

}

LimitUnits floorShare(LimitUnits limit, const LimitDivisionSettings &settings)
{
    constexpr LimitUnits percent = 100;
    // Dividing before multiplying avoids an overflow for large limits.
    return limit / percent * settings.floorPercent / settings.maxHosts;
}

LimitUnits allocatableUnits(LimitUnits limit, const LimitDivisionSettings &settings)
{
    return limit - floorShare(limit, settings) * settings.maxHosts;
}

std::uint32_t limitGroup(const OrganisationId &organisation, const LimitDivisionSettings &settings)
{
    return static_cast<std::uint32_t>(hash64(organisation.value()) % settings.groups);
}

std::string limitAuthorityKey(std::uint32_t group)
{
    return "mangofall/limits/" + std::to_string(group);
}

LimitTraffic estimateLimitTraffic(std::uint32_t hosts, std::uint32_t keysPerHost, const LimitDivisionSettings &settings)
{
    constexpr double exchangeBytes = 2 * (4 + 40) + 3 * 52; // two messages (frame prefix and fixed fields); two data packets and one acknowledgement
    constexpr double entryBytes = 2 * 48; // organisation id, kind, demand or amount, sequence
    const double groups = settings.groups;
    const double groupsInUse = groups * (1 - std::exp(-static_cast<double>(keysPerHost) / groups));
    const double clientBytesPerSecond = (groupsInUse * exchangeBytes + keysPerHost * entryBytes) / Seconds(settings.demandInterval).count();
    // The traffic between all clients and all allocators, per host: a host is the allocator of groups / hosts groups, rounded up.
    const double allocatorBytesPerSecond = clientBytesPerSecond * hosts * std::ceil(groups / hosts) / groups;
    return {.bytesPerSecond = clientBytesPerSecond + allocatorBytesPerSecond, .storeWritesPerSecond = groups / Seconds(settings.authority.renewal).count()};
}

LimitClient::LimitClient(HostId self, std::uint64_t incarnation, LimitDivisionSettings settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

LimitClient::Actions LimitClient::handle(const LimitClientEvent &event, TimePoint now)
{
    if (const auto *limits = std::get_if<LimitsChanged>(&event)) {
        m_limits = limits->limits;
    } else if (const auto *allocators = std::get_if<AllocatorsChanged>(&event)) {
        m_allocators = allocators->allocators;
    } else if (const auto *observed = std::get_if<DemandObserved>(&event)) {
        recordDemand(*observed, now);
    } else if (const auto *received = std::get_if<LimitGrantReceived>(&event)) {
        applyGrant(received->grant);
    } else {
        return tick(now);
    }
    return {};
}

std::optional<LimitUnits> LimitClient::shareOf(const LimitKey &key, TimePoint now) const
{
    const auto limit = m_limits.find(key);
    if (limit == m_limits.end()) {
        return std::nullopt;
    }
    LimitUnits share = floorShare(limit->second, m_settings);
    const auto held = m_heldAllocations.find(key);
    if (held != m_heldAllocations.end()) {
        for (const auto &[term, allocation] : held->second) {
            share += allocation.until > now ? allocation.amount : 0;
        }
    }
    return share;
}

void LimitClient::applyGrant(const LimitGrant &grant)
{
    const auto sent = m_demandSentTimes.find(grant.sequence);
    if (grant.host != m_self || grant.incarnation != m_incarnation || sent == m_demandSentTimes.end()) {
        return;
    }
    Group &group = m_groups[grant.group];
    group.term = std::max(group.term, grant.term);
    group.answered = true;
    for (const LimitGrantEntry &entry : grant.entries) {
        HeldAllocation &allocation = m_heldAllocations[entry.key][grant.term];
        // A duplicate or reordered grant must not replace a newer one: the allocator may have allocated the difference to others.
        if (grant.sequence > allocation.sequence) {
            allocation = {.sequence = grant.sequence, .amount = entry.amount, .until = sent->second + grant.validity};
        }
    }
}

void LimitClient::recordDemand(const DemandObserved &event, TimePoint now)
{
    if (!m_limits.contains(event.key)) {
        return;
    }
    Group &group = m_groups[limitGroup(event.key.organisation, m_settings)];
    LimitUnits &demand = group.demand[event.key];
    demand = std::max(demand, event.demand);
    group.urgent = group.urgent || event.demand > shareOf(event.key, now).value_or(0);
}

LimitClient::Actions LimitClient::tick(TimePoint now)
{
    std::erase_if(m_demandSentTimes, [&](const auto &entry) {
        return now - entry.second > m_settings.allocationValidity;
    });
    for (auto &[key, held] : m_heldAllocations) {
        // An expired allocation stays as the record of its sequence until no older grant can arrive.
        std::erase_if(held, [&](const auto &entry) {
            return now - entry.second.until > m_settings.allocationValidity;
        });
    }
    std::erase_if(m_heldAllocations, [](const auto &entry) {
        return entry.second.empty();
    });
    Actions actions;
    for (auto &[group, state] : m_groups) {
        const auto allocator = m_allocators.find(group);
        const Duration interval = state.urgent || !state.answered ? m_settings.urgentInterval : m_settings.demandInterval;
        const bool due = state.lastDemandSent == TimePoint::min() || now - state.lastDemandSent >= interval;
        if (due && allocator != m_allocators.end() && !state.demand.empty()) {
            actions.emplace_back(SendLimitDemand{allocator->second, makeDemand(group, state, now)});
        }
    }
    return actions;
}

LimitDemand LimitClient::makeDemand(std::uint32_t group, Group &state, TimePoint now)
{
    LimitDemand demand{.host = m_self, .incarnation = m_incarnation, .sequence = ++m_sequence, .group = group, .term = state.term, .entries = {}};
    for (auto &[key, units] : state.demand) {
        const auto held = m_heldAllocations.find(key);
        const bool hasAllocation = held != m_heldAllocations.end() && held->second.contains(state.term);
        demand.entries.push_back({.key = key, .demand = units, .adopted = hasAllocation ? held->second.at(state.term).sequence : 0});
        // The recorded demand halves with each answered LimitDemand; a lost one must not reduce it.
        units = state.answered ? units / 2 : units;
    }
    // A limit without new demand is still included until its recorded demand has been halved down to 0.
    std::erase_if(state.demand, [](const auto &entry) {
        return entry.second == 0;
    });
    state.lastDemandSent = now;
    state.urgent = false;
    state.answered = false;
    m_demandSentTimes.emplace(demand.sequence, now);
    return demand;
}

LimitAllocator::LimitAllocator(std::uint32_t group, std::uint64_t term, LimitDivisionSettings settings)
    : m_group(group)
    , m_term(term)
    , m_settings(settings)
{
}

LimitAllocator::Actions LimitAllocator::handle(const LimitAllocatorEvent &event, TimePoint now)
{
    if (const auto *limits = std::get_if<LimitsChanged>(&event)) {
        m_limits = limits->limits;
    } else if (const auto *allowed = std::get_if<AllocationAllowed>(&event)) {
        m_allowedUntil = std::max(m_allowedUntil, allowed->until);
    } else if (const auto *clientCount = std::get_if<ClientCountChanged>(&event)) {
        m_clientCount = clientCount->hosts;
    } else {
        return allocate(std::get<LimitDemandReceived>(event).demand, now);
    }
    return {};
}

TimePoint LimitAllocator::lastExpiry() const
{
    return m_lastExpiry;
}

LimitAllocator::Actions LimitAllocator::allocate(const LimitDemand &demand, TimePoint now)
{
    std::erase_if(m_lastAnsweredDemands, [&](const auto &entry) {
        return now - entry.second.second > 2 * m_settings.allocationValidity;
    });
    const Client client{demand.host, demand.incarnation};
    auto &[lastSequence, lastTime] = m_lastAnsweredDemands[client];
    const Duration validity = std::min<Duration>(m_settings.allocationValidity, m_allowedUntil - std::min(now, m_allowedUntil));
    if (demand.group != m_group || demand.sequence <= lastSequence || validity <= Duration::zero()) {
        return {};
    }
    lastSequence = demand.sequence;
    lastTime = now;
    LimitGrant grant{.host = demand.host,
                     .incarnation = demand.incarnation,
                     .sequence = demand.sequence,
                     .group = m_group,
                     .term = m_term,
                     .validity = validity,
                     .entries = {}};
    for (const LimitDemandEntry &entry : demand.entries) {
        const auto limit = m_limits.find(entry.key);
        if (limit == m_limits.end()) {
            continue;
        }
        ClientAccounts &accounts = m_clientAccounts[entry.key];
        removeExpired(accounts, now);
        ClientAccount &account = accounts[client];
        account.demand = entry.demand;
        account.lastDemandReceived = now;
        if (demand.term == m_term) {
            // The client never returns to an allocation older than the one that it has adopted.
            std::erase_if(account.allocations, [&](const Allocation &allocation) {
                return allocation.sequence < entry.adopted;
            });
        }
        const LimitUnits amount = computeAmount(accounts, client, allocatableUnits(limit->second, m_settings));
        account.allocations.push_back({.sequence = demand.sequence, .amount = amount, .until = now + scaleDuration(validity, 1 + m_settings.clockDrift)});
        grant.entries.push_back({.key = entry.key, .amount = amount});
    }
    m_lastExpiry = std::max(m_lastExpiry, now + scaleDuration(validity, 1 + m_settings.clockDrift));
    return {SendLimitGrant{demand.host, std::move(grant)}};
}

LimitUnits LimitAllocator::computeAmount(const ClientAccounts &accounts, const Client &client, LimitUnits capacity) const
{
    LimitUnits allocatedToOthers = 0;
    double demand = 0;
    for (const auto &[other, account] : accounts) {
        allocatedToOthers += other == client ? 0 : findLargestAmount(account.allocations);
        demand += static_cast<double>(account.demand);
    }
    // A tenth is divided equally, so that a host with new demand has an allocation at once; without any demand, all of it is.
    constexpr double equalFraction = 0.1;
    const auto hosts = static_cast<double>(std::max(m_clientCount, accounts.size()));
    const double wanted = static_cast<double>(accounts.at(client).demand);
    const double fraction = demand > 0 ? equalFraction / hosts + (1 - equalFraction) * wanted / demand : 1 / hosts;
    const auto target = static_cast<LimitUnits>(fraction * static_cast<double>(capacity));
    return std::min(target, capacity - std::min(capacity, allocatedToOthers));
}

void LimitAllocator::removeExpired(ClientAccounts &accounts, TimePoint now) const
{
    for (auto &[client, account] : accounts) {
        std::erase_if(account.allocations, [&](const Allocation &allocation) {
            return allocation.until <= now;
        });
    }
    std::erase_if(accounts, [&](const auto &entry) {
        return entry.second.allocations.empty() && now - entry.second.lastDemandReceived > m_settings.allocationValidity;
    });
}

}
