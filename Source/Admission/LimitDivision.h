#pragma once

#include "Membership/StoreLease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace Mangofall {

// Divides the fleet-wide limits of organisations between hosts. Organisations are hashed into groups. For each group, one
// host at a time holds a lease in the platform's store, the authority over the group, and is the allocator of the group's
// limits. Every host is a client of the allocators. A host's share of a limit is the sum of a floor, which needs no message,
// and of allocations whose leases expire. The sum of the shares in force never exceeds the limit, provided that
// at most maxHosts hosts run at the same time and that the hosts' clock rates differ by at most clockDrift.

enum class LimitKind {
    RequestRate, ///< In thousandths of a request per second.
    TokensInFlight, ///< In tokens.
};

/// An amount in the unit of its LimitKind.
using LimitUnits = std::uint64_t;

/// One limit of one organisation.
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
 * \brief Settings of the division of limits, which must be equal on all hosts.
 */
struct LimitDivisionSettings {
    std::chrono::seconds allocationValidity{450}; ///< Lease time of an allocation; the allocation of a dead host becomes free after it.
    std::chrono::seconds demandInterval{180}; ///< Time between demands; short enough that an allocation stays valid if one demand is lost.
    std::chrono::seconds urgentInterval{10}; ///< Minimum time between demands that are sent early for lack of a share or of an answer.
    /// Lease in the store on the authority over a group. Store outages shorter than validity minus renewal have no effect.
    Membership::LeaseSettings authority{.validity = std::chrono::seconds(900),
                                        .renewal = std::chrono::seconds(300),
                                        .successorWait = std::chrono::seconds(900),
                                        .retry = std::chrono::seconds(10),
                                        .poll = std::chrono::seconds(30)};
    std::uint32_t groups = 1024; ///< About one per host at 810 hosts, so that no host is the allocator of many groups.
    std::uint32_t maxHosts = 1024; ///< Maximum number of hosts that run at the same time: 810 and their replacements.
    std::uint32_t floorPercent = 20; ///< Percentage of each limit that is divided equally between maxHosts hosts, without allocations.
    double clockDrift = 0.01; ///< Maximum relative difference of clock rates; the allocator extends the lease of each allocation by it.
};

/// The share of \p limit that every host has at any time without an allocation.
LimitUnits floorShare(LimitUnits limit, const LimitDivisionSettings &settings);

/// The part of \p limit that is divided by allocations.
LimitUnits allocatableUnits(LimitUnits limit, const LimitDivisionSettings &settings);

/// Store key of the lease on the authority over \p group.
std::string limitAuthorityKey(std::uint32_t group);

/// The group of \p organisation, a number below settings.groups.
std::uint32_t limitGroup(const OrganisationId &organisation, const LimitDivisionSettings &settings);

/**
 * \class LimitTraffic
 * \brief Steady-state traffic of the division of limits, for capacity planning.
 */
struct LimitTraffic {
    double bytesPerSecond = 0; ///< Sent and received by one host, as a client and as the allocator of its part of the groups.
    double storeWritesPerSecond = 0; ///< Sum over all hosts.
};

/// Estimates the traffic if each of \p hosts hosts uses \p keysPerHost limits.
LimitTraffic estimateLimitTraffic(std::uint32_t hosts, std::uint32_t keysPerHost, const LimitDivisionSettings &settings);

struct LimitDemandEntry {
    LimitKey key;
    LimitUnits demand = 0;
    std::uint64_t adopted = 0; ///< Sequence of the grant that this host uses from the term in LimitDemand; 0 if there is none.
};

/// A host's demand for the limits of one group, which the group's allocator answers with a LimitGrant.
struct LimitDemand {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each demand of the incarnation.
    std::uint32_t group = 0;
    std::uint64_t term = 0; ///< The allocator's term to which the adopted sequences of the entries refer.
    std::vector<LimitDemandEntry> entries;
};

struct LimitGrantEntry {
    LimitKey key;
    LimitUnits amount = 0;
};

/// An allocator's answer to one LimitDemand. The validity counts from the time at which the client sent that demand.
struct LimitGrant {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Sequence of the demand that is answered.
    std::uint32_t group = 0;
    std::uint64_t term = 0;
    Duration validity{};
    std::vector<LimitGrantEntry> entries;
};

/// The configured limits changed.
struct LimitsChanged {
    std::map<LimitKey, LimitUnits> limits; ///< Keys without a limit are absent.
};

/// The live host that should be the allocator of each group, as this host sees the membership.
struct AllocatorsChanged {
    std::map<std::uint32_t, HostId> allocators;
};

/// Demand for a limit since the last observation.
struct DemandObserved {
    LimitKey key;
    LimitUnits demand = 0;
};

/// An allocator's answer arrived.
struct LimitGrantReceived {
    LimitGrant grant;
};

/// Periodic event that sends the demands that are due.
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
 * \brief Keeps a host's shares of the limits and requests allocations; runs on every host.
 */
class LimitClient
{
public:
    using Actions = std::vector<LimitClientAction>;

    LimitClient(HostId self, std::uint64_t incarnation, LimitDivisionSettings settings);

    Actions handle(const LimitClientEvent &event, TimePoint now);

    /// This host's share at \p now; empty if \p key has no limit.
    std::optional<LimitUnits> shareOf(const LimitKey &key, TimePoint now) const;

private:
    struct HeldAllocation {
        std::uint64_t sequence = 0;
        LimitUnits amount = 0;
        TimePoint until;
    };

    struct Group {
        std::map<LimitKey, LimitUnits> demand;
        TimePoint lastDemandSent = TimePoint::min();
        bool urgent = false; ///< Demand has exceeded the share since the last LimitDemand.
        bool answered = true; ///< Whether the last demand has been answered.
        std::uint64_t term = 0; ///< Highest term that an allocator's grant has named.
    };

    void applyGrant(const LimitGrant &grant);
    void recordDemand(const DemandObserved &event, TimePoint now);
    Actions tick(TimePoint now);
    LimitDemand makeDemand(std::uint32_t group, Group &state, TimePoint now);

    HostId m_self;
    std::uint64_t m_incarnation;
    LimitDivisionSettings m_settings;
    std::map<LimitKey, LimitUnits> m_limits;
    std::map<std::uint32_t, HostId> m_allocators;
    std::map<std::uint32_t, Group> m_groups;
    std::map<LimitKey, std::map<std::uint64_t, HeldAllocation>> m_heldAllocations; ///< Inner key: the allocator's term.
    std::map<std::uint64_t, TimePoint> m_demandSentTimes; ///< Send times of demands that may still be answered.
    std::uint64_t m_sequence = 0;
};

/// The allocator may allocate until \c until, when its StoreLease on the authority over its group, in its term, expires. The
/// limits are those in force on this host.
struct AllocationAllowed {
    TimePoint until;
};

/// The number of hosts that may receive allocations changed.
struct ClientCountChanged {
    std::size_t hosts = 0;
};

/// A client's demand arrived.
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
 * \brief Allocates the limits of one group to hosts during one term of the authority over the group.
 *
 * A lowered limit applies to new allocations; the sum of the shares is below it once the earlier allocations have expired.
 */
class LimitAllocator
{
public:
    using Actions = std::vector<LimitAllocatorAction>;

    LimitAllocator(std::uint32_t group, std::uint64_t term, LimitDivisionSettings settings);

    Actions handle(const LimitAllocatorEvent &event, TimePoint now);

    /// The latest expiry of an allocation. The release of the authority tells a successor to wait until then.
    TimePoint lastExpiry() const;

private:
    using Client = std::pair<HostId, std::uint64_t>; ///< Host and incarnation.

    struct Allocation {
        std::uint64_t sequence = 0;
        LimitUnits amount = 0;
        TimePoint until; ///< Expiry, extended by the allowance for clock drift.
    };

    struct ClientAccount {
        LimitUnits demand = 0;
        TimePoint lastDemandReceived;
        std::vector<Allocation> allocations; ///< The client uses one of these; its next demand tells which.
    };

    using ClientAccounts = std::map<Client, ClientAccount>;

    Actions allocate(const LimitDemand &demand, TimePoint now);
    LimitUnits computeAmount(const ClientAccounts &accounts, const Client &client, LimitUnits capacity) const;
    void removeExpired(ClientAccounts &accounts, TimePoint now) const;

    std::uint32_t m_group;
    std::uint64_t m_term;
    LimitDivisionSettings m_settings;
    std::map<LimitKey, LimitUnits> m_limits;
    std::map<LimitKey, ClientAccounts> m_clientAccounts;
    std::map<Client, std::pair<std::uint64_t, TimePoint>> m_lastAnsweredDemands; ///< Sequence and time of the last demand answered.
    std::size_t m_clientCount = 1;
    TimePoint m_allowedUntil = TimePoint::min();
    TimePoint m_lastExpiry = TimePoint::min();
};

}
