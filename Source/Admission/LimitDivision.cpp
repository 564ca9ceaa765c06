#include "Admission/LimitDivision.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace Mangofall {

namespace {

Duration scaled(Duration duration, double factor)
{
    return toDuration(Seconds(duration) * factor);
}

LimitUnits largest(const auto &loans)
{
    LimitUnits amount = 0;
    for (const auto &loan : loans) {
        amount = std::max(amount, loan.amount);
    }
    return amount;
}

}

LimitUnits floorShare(LimitUnits limit, const LimitDivisionSettings &settings)
{
    constexpr LimitUnits percent = 100;
    // Dividing first keeps large limits from overflowing.
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
    constexpr double exchangeBytes = 2 * (4 + 40) + 3 * 52; // two frame prefixes with fixed fields; two data packets, one acknowledgement
    constexpr double entryBytes = 2 * 48; // organisation id, kind, demand or amount, sequence
    const double groups = settings.groups;
    const double groupsInUse = groups * (1 - std::exp(-static_cast<double>(keysPerHost) / groups));
    const double borrowing = (groupsInUse * exchangeBytes + keysPerHost * entryBytes) / Seconds(settings.demandInterval).count();
    // What all borrowers exchange with the holders, divided by the hosts; a host holds groups / hosts of them, rounded up.
    const double lending = borrowing * hosts * std::ceil(groups / hosts) / groups;
    return {.bytesPerSecond = borrowing + lending, .storeWritesPerSecond = groups / Seconds(settings.authority.renewal).count()};
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
        m_lenders = allocators->allocators;
    } else if (const auto *observed = std::get_if<DemandObserved>(&event)) {
        observe(*observed, now);
    } else if (const auto *received = std::get_if<LimitGrantReceived>(&event)) {
        adopt(received->grant);
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
    const auto holdings = m_holdings.find(key);
    if (holdings != m_holdings.end()) {
        for (const auto &[term, holding] : holdings->second) {
            share += holding.until > now ? holding.amount : 0;
        }
    }
    return share;
}

void LimitClient::adopt(const LimitGrant &grant)
{
    const auto sent = m_sent.find(grant.sequence);
    if (grant.host != m_self || grant.incarnation != m_incarnation || sent == m_sent.end()) {
        return;
    }
    Group &group = m_groups[grant.group];
    group.term = std::max(group.term, grant.term);
    group.answered = true;
    for (const LimitGrantEntry &entry : grant.entries) {
        Holding &holding = m_holdings[entry.key][grant.term];
        // A duplicate or an overtaken grant must not replace a newer one: the lender may have lent the difference.
        if (grant.sequence > holding.sequence) {
            holding = {.sequence = grant.sequence, .amount = entry.amount, .until = sent->second + grant.validity};
        }
    }
}

void LimitClient::observe(const DemandObserved &event, TimePoint now)
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
    std::erase_if(m_sent, [&](const auto &entry) {
        return now - entry.second > m_settings.allocationValidity;
    });
    for (auto &[key, holdings] : m_holdings) {
        // The newest expired holding stays as the record of its sequence until no older grant can arrive.
        std::erase_if(holdings, [&](const auto &entry) {
            return now - entry.second.until > m_settings.allocationValidity;
        });
    }
    std::erase_if(m_holdings, [](const auto &entry) {
        return entry.second.empty();
    });
    Actions actions;
    for (auto &[group, state] : m_groups) {
        const auto allocator = m_lenders.find(group);
        const Duration interval = state.urgent || !state.answered ? m_settings.urgentInterval : m_settings.demandInterval;
        const bool due = state.lastReport == TimePoint::min() || now - state.lastReport >= interval;
        if (due && allocator != m_lenders.end() && !state.demand.empty()) {
            actions.emplace_back(SendLimitDemand{allocator->second, compose(group, state, now)});
        }
    }
    return actions;
}

LimitDemand LimitClient::compose(std::uint32_t group, Group &state, TimePoint now)
{
    LimitDemand demand{.host = m_self, .incarnation = m_incarnation, .sequence = ++m_sequence, .group = group, .term = state.term, .entries = {}};
    for (auto &[key, units] : state.demand) {
        const auto holdings = m_holdings.find(key);
        const bool holds = holdings != m_holdings.end() && holdings->second.contains(state.term);
        demand.entries.push_back({.key = key, .demand = units, .adopted = holds ? holdings->second.at(state.term).sequence : 0});
        // Demand fades from one answered report to the next; a lost report must not make it disappear.
        units = state.answered ? units / 2 : units;
    }
    // A limit without demand is reported as such until the demand has halved away, then no longer.
    std::erase_if(state.demand, [](const auto &entry) {
        return entry.second == 0;
    });
    state.lastReport = now;
    state.urgent = false;
    state.answered = false;
    m_sent.emplace(demand.sequence, now);
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
        m_until = std::max(m_until, allowed->until);
    } else if (const auto *borrowers = std::get_if<ClientCountChanged>(&event)) {
        m_borrowers = borrowers->hosts;
    } else {
        return lend(std::get<LimitDemandReceived>(event).demand, now);
    }
    return {};
}

TimePoint LimitAllocator::lastExpiry() const
{
    return m_lastExpiry;
}

LimitAllocator::Actions LimitAllocator::lend(const LimitDemand &demand, TimePoint now)
{
    std::erase_if(m_lastDemands, [&](const auto &entry) {
        return now - entry.second.second > 2 * m_settings.allocationValidity;
    });
    const Borrower client{demand.host, demand.incarnation};
    auto &[lastSequence, lastTime] = m_lastDemands[client];
    const Duration validity = std::min<Duration>(m_settings.allocationValidity, m_until - std::min(now, m_until));
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
        Accounts &accounts = m_accounts[entry.key];
        expire(accounts, now);
        Account &account = accounts[client];
        account.demand = entry.demand;
        account.reported = now;
        if (demand.term == m_term) {
            // The borrower never returns to a loan older than the one it has adopted.
            std::erase_if(account.loans, [&](const Loan &loan) {
                return loan.sequence < entry.adopted;
            });
        }
        const LimitUnits amount = amountFor(accounts, client, allocatableUnits(limit->second, m_settings));
        account.loans.push_back({.sequence = demand.sequence, .amount = amount, .until = now + scaled(validity, 1 + m_settings.clockDrift)});
        grant.entries.push_back({.key = entry.key, .amount = amount});
    }
    m_lastExpiry = std::max(m_lastExpiry, now + scaled(validity, 1 + m_settings.clockDrift));
    return {SendLimitGrant{demand.host, std::move(grant)}};
}

LimitUnits LimitAllocator::amountFor(const Accounts &accounts, const Borrower &client, LimitUnits capacity) const
{
    LimitUnits lent = 0;
    double demand = 0;
    for (const auto &[other, account] : accounts) {
        lent += other == client ? 0 : largest(account.loans);
        demand += static_cast<double>(account.demand);
    }
    // A tenth goes to all hosts alike, so that a host where demand begins finds something; all of it while there is no demand.
    constexpr double equalPart = 0.1;
    const auto hosts = static_cast<double>(std::max(m_borrowers, accounts.size()));
    const double wanted = static_cast<double>(accounts.at(client).demand);
    const double part = demand > 0 ? equalPart / hosts + (1 - equalPart) * wanted / demand : 1 / hosts;
    const auto target = static_cast<LimitUnits>(part * static_cast<double>(capacity));
    return std::min(target, capacity - std::min(capacity, lent));
}

void LimitAllocator::expire(Accounts &accounts, TimePoint now) const
{
    for (auto &[client, account] : accounts) {
        std::erase_if(account.loans, [&](const Loan &loan) {
            return loan.until <= now;
        });
    }
    std::erase_if(accounts, [&](const auto &entry) {
        return entry.second.loans.empty() && now - entry.second.reported > m_settings.allocationValidity;
    });
}

}
