#pragma once

#include "Membership/StoreLease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace Mangofall {

// Divides the fleet-wide limits of organisations between hosts. Organisations are hashed into groups. One host at a time
// holds the authority over a group, through the platform's store, and lends shares of the group's limits to hosts. A share
// is the sum of a floor, which needs no message, and of loans that expire. The sum of the shares in force never exceeds
// the limit, provided that at most maxHosts hosts run and that clocks run at rates within clockDrift of each other.

enum class LimitKind {
    RequestRate, ///< Units of thousandths of a request per second.
    TokensInFlight, ///< Units of tokens.
};

using LimitUnits = std::uint64_t;

struct LimitKey {
    OrganisationId organisation;
    LimitKind kind = LimitKind::RequestRate;

    friend bool operator==(const LimitKey &, const LimitKey &) = default;
    friend bool operator<(const LimitKey &left, const LimitKey &right)
    {
        return std::tie(left.organisation, left.kind) < std::tie(right.organisation, right.kind);
    }
};

/**
 * \class LimitDivisionSettings
 * \brief Times and proportions; the same on all hosts.
 */
struct LimitDivisionSettings {
    std::chrono::seconds allocationValidity{450}; ///< A dead host's share is lent again after this time.
    std::chrono::seconds demandInterval{180}; ///< A loan survives one lost report.
    std::chrono::seconds urgentInterval{10}; ///< Least time between reports caused by new demand or by a missing answer.
    /// Lease on each group's authority. Store outages shorter than validity less renewal have no effect.
    Membership::LeaseSettings authority{.validity = std::chrono::seconds(900),
                                        .renewal = std::chrono::seconds(300),
                                        .successorWait = std::chrono::seconds(900),
                                        .retry = std::chrono::seconds(10),
                                        .poll = std::chrono::seconds(30)};
    std::uint32_t groups = 1024; ///< About one per host at 810 hosts, so that no host serves many.
    std::uint32_t maxHosts = 1024; ///< Hosts that may run at the same time; 810 plus replacements.
    std::uint32_t floorPercent = 20; ///< Part of each limit that is divided equally without loans.
    double clockDrift = 0.01; ///< Added to the lender's expiry of each loan.
};

/// Share that every host has at any time.
LimitUnits floorShare(LimitUnits limit, const LimitDivisionSettings &settings);
/// Part of \p limit that is lent.
LimitUnits allocatableUnits(LimitUnits limit, const LimitDivisionSettings &settings);
/// Key of the lease that gives the authority over \p group.
std::string limitAuthorityKey(std::uint32_t group);
/// Group of \p organisation, below settings.groups.
std::uint32_t limitGroup(const OrganisationId &organisation, const LimitDivisionSettings &settings);

/**
 * \class LimitTraffic
 * \brief Cost of the division in steady state, for capacity planning.
 */
struct LimitTraffic {
    double bytesPerSecond = 0; ///< Of one host, sent plus received, as borrower and as holder of its part of the groups.
    double storeWritesPerSecond = 0; ///< Of the whole fleet.
};

/// Cost if each of \p hosts hosts serves \p keysPerHost limits that are in use.
LimitTraffic estimateLimitTraffic(std::uint32_t hosts, std::uint32_t keysPerHost, const LimitDivisionSettings &settings);

struct LimitDemandEntry {
    LimitKey key;
    LimitUnits demand = 0;
    std::uint64_t adopted = 0; ///< Sequence of the loan in force from the lender's term; 0 if there is none.
};

/// A host's demand for the limits of one group.
struct LimitDemand {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counter within the incarnation.
    std::uint32_t group = 0;
    std::uint64_t term = 0; ///< Lender's term to which the entries' adopted sequences refer.
    std::vector<LimitDemandEntry> entries;
};

struct LimitGrantEntry {
    LimitKey key;
    LimitUnits amount = 0;
};

/// Answer to one LimitDemand. The validity counts from the moment at which the borrower sent that demand.
struct LimitGrant {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Of the demand.
    std::uint32_t group = 0;
    std::uint64_t term = 0;
    Duration validity{};
    std::vector<LimitGrantEntry> entries;
};

struct LimitsChanged {
    std::map<LimitKey, LimitUnits> limits; ///< Keys without a limit are absent.
};

/// The live host that should hold the authority over each group, in this host's view.
struct AllocatorsChanged {
    std::map<std::uint32_t, HostId> allocators;
};

/// Demand for a limit since the last observation, in the key's units.
struct DemandObserved {
    LimitKey key;
    LimitUnits demand = 0;
};

struct LimitGrantReceived {
    LimitGrant grant;
};

struct LimitClientTick {
};

using LimitClientEvent = std::variant<LimitsChanged, AllocatorsChanged, DemandObserved, LimitGrantReceived, LimitClientTick>;

struct SendLimitDemand {
    HostId allocator;
    LimitDemand demand;
};

using LimitClientAction = std::variant<SendLimitDemand>;

/**
 * \class LimitClient
 * \brief Holds this host's shares: on every host.
 */
class LimitClient
{
public:
    using Actions = std::vector<LimitClientAction>;

    LimitClient(HostId self, std::uint64_t incarnation, LimitDivisionSettings settings);

    Actions handle(const LimitClientEvent &event, TimePoint now);

    /// Share in force at \p now; empty if the key has no limit.
    std::optional<LimitUnits> shareOf(const LimitKey &key, TimePoint now) const;

private:
    struct Holding {
        std::uint64_t sequence = 0;
        LimitUnits amount = 0;
        TimePoint until;
    };

    struct Group {
        std::map<LimitKey, LimitUnits> demand;
        TimePoint lastReport = TimePoint::min();
        bool urgent = false;
        bool answered = true; ///< Whether the last report has been answered.
        std::uint64_t term = 0; ///< Newest lender's term heard of.
    };

    void adopt(const LimitGrant &grant);
    void observe(const DemandObserved &event, TimePoint now);
    Actions tick(TimePoint now);
    LimitDemand compose(std::uint32_t group, Group &state, TimePoint now);

    HostId m_self;
    std::uint64_t m_incarnation;
    LimitDivisionSettings m_settings;
    std::map<LimitKey, LimitUnits> m_limits;
    std::map<std::uint32_t, HostId> m_lenders;
    std::map<std::uint32_t, Group> m_groups;
    std::map<LimitKey, std::map<std::uint64_t, Holding>> m_holdings; ///< By lender's term.
    std::map<std::uint64_t, TimePoint> m_sent; ///< Send times of demands that may still be answered.
    std::uint64_t m_sequence = 0;
};

/// The StoreLease on the group's authority, in the lender's term, lasts until \c until; the limits are those in force here.
struct AllocationAllowed {
    TimePoint until;
};

/// The number of hosts that may borrow.
struct ClientCountChanged {
    std::size_t hosts = 0;
};

struct LimitDemandReceived {
    LimitDemand demand;
};

using LimitAllocatorEvent = std::variant<LimitsChanged, AllocationAllowed, ClientCountChanged, LimitDemandReceived>;

struct SendLimitGrant {
    HostId host;
    LimitGrant grant;
};

using LimitAllocatorAction = std::variant<SendLimitGrant>;

/**
 * \class LimitAllocator
 * \brief Lends the limits of one group during one term of authority.
 *
 * A lowered limit applies to new loans; the shares' sum is below it when the earlier loans have expired.
 */
class LimitAllocator
{
public:
    using Actions = std::vector<LimitAllocatorAction>;

    LimitAllocator(std::uint32_t group, std::uint64_t term, LimitDivisionSettings settings);

    Actions handle(const LimitAllocatorEvent &event, TimePoint now);

    /// Latest expiry of a loan; the authority is released with this wait.
    TimePoint lastExpiry() const;

private:
    using Borrower = std::pair<HostId, std::uint64_t>;

    struct Loan {
        std::uint64_t sequence = 0;
        LimitUnits amount = 0;
        TimePoint until; ///< With the allowance for clock drift.
    };

    struct Account {
        LimitUnits demand = 0;
        TimePoint reported;
        std::vector<Loan> loans; ///< The borrower uses one of them; which one is unknown until it reports.
    };

    using Accounts = std::map<Borrower, Account>;

    Actions lend(const LimitDemand &demand, TimePoint now);
    LimitUnits amountFor(const Accounts &accounts, const Borrower &client, LimitUnits capacity) const;
    void expire(Accounts &accounts, TimePoint now) const;

    std::uint32_t m_group;
    std::uint64_t m_term;
    LimitDivisionSettings m_settings;
    std::map<LimitKey, LimitUnits> m_limits;
    std::map<LimitKey, Accounts> m_accounts;
    std::map<Borrower, std::pair<std::uint64_t, TimePoint>> m_lastDemands; ///< Sequence and time of the last demand answered.
    std::size_t m_borrowers = 1;
    TimePoint m_until = TimePoint::min();
    TimePoint m_lastExpiry = TimePoint::min();
};

}
