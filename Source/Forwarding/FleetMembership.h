#pragma once

#include "Base/Time.h"
#include "Forwarding/FleetHost.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Mangofall::Forwarding {

/// A change of the membership of one host.
struct MembershipChange {
    enum class Kind {
        Unlisted, ///< Its entry lapsed without an announcement; it is kept.
        Listed, ///< A host that was kept has an entry again.
        Dropped, ///< It is no longer a member.
    };
    enum class Cause {
        None,
        Silent, ///< It does not answer its peers.
        Left, ///< It had announced that it leaves.
        Expired, ///< It has had no entry for too long.
        NotKept, ///< Hosts without an entry are not kept.
    };

    HostId host;
    Kind kind = Kind::Unlisted;
    Cause cause = Cause::None; ///< Of a drop.

    friend bool operator==(const MembershipChange &, const MembershipChange &) = default;
};

/**
 * \class FleetMembership
 * \brief Decides which hosts belong to the fleet, from their entries in the store and from whether they answer their peers.
 *
 * The entry of a host lapses when the host has stopped, and also when it only lost the store. Removing it in the second case makes the hosts with a current
 * list choose another owner than those without one, so that two owners grant the same upstreams. A host whose entry lapsed is therefore kept as unlisted until
 * it does not answer a peer, announces that it leaves, or the limit has passed. The members depend only on what was seen of each process, not on the order in
 * which news of different hosts arrived.
 */
class FleetMembership
{
public:
    using Changes = std::vector<MembershipChange>;

    /// \p keepUnlisted is the longest time for which a host without an entry is kept; if it is zero, such hosts are dropped at once.
    explicit FleetMembership(Duration keepUnlisted);

    /// The hosts that have an entry now, those that are leaving included.
    Changes setListed(const std::vector<FleetHost> &hosts, TimePoint now);
    /// The process of \p host did not answer a peer.
    Changes unanswered(const HostId &host);
    /// The process of \p host has answered in time.
    void answered(const HostId &host);
    /// Drops the hosts that have had no entry for too long.
    Changes expire(TimePoint now);

    /// All members, ordered by their ids. Those that are leaving are members, because their requests are still in progress.
    std::vector<FleetHost> members() const;
    /// The number of hosts that have an entry and are not leaving.
    std::size_t listedCount() const;
    std::size_t unlistedCount() const;

private:
    struct Member {
        FleetHost host;
        bool listed = true;
        bool silent = false; ///< Whether this process has left a peer without an answer since it last answered one.
        TimePoint unlistedAt;
    };

    /// Records an entry; the entry of a new process replaces what is known of the former one.
    void list(const FleetHost &host, Changes &changes);
    /// Keeps or drops a member that has no entry any more.
    MembershipChange unlist(Member &member, TimePoint now) const;
    void applyDrops(const Changes &changes);

    Duration m_keepUnlisted;
    std::map<HostId, Member> m_members;
};

/// The name of \p cause in logs.
const char *name(MembershipChange::Cause cause);

}
