#pragma once

#include "Forwarding/FleetHost.h"
#include "Forwarding/FleetMembership.h"
#include "Forwarding/OwnerSelector.h"
#include "Forwarding/PeerConnections.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Mangofall {
class EventLog;
class PeerLink;
}

namespace Mangofall::Forwarding {

/**
 * \class FleetPeers
 * \brief The members of the fleet with the links to them, and the choice of owners among them.
 */
class FleetPeers
{
public:
    /// What this host knows of crashes, with which a new link begins; empty if it knows nothing.
    using Greeting = std::function<std::optional<Wire::CrashUpdateT>()>;

    /// \p connections and \p log must outlive this object.
    FleetPeers(HostId self, Duration keepUnlisted, PeerConnections &connections, EventLog &log, Greeting greeting);

    /// Sets the hosts that have an entry in the store. Returns the hosts whose former process is not a member any more; their links are closed.
    std::vector<HostId> setListed(const std::vector<FleetHost> &hosts, TimePoint now);
    /// Drops the hosts that have had no entry for too long, and returns them.
    std::vector<HostId> expire(TimePoint now);
    /// Passes over a host that did not answer, closes the link to it, and drops it if it has no entry. Returns the dropped host.
    std::vector<HostId> silent(const HostId &host, TimePoint now);
    /// A host has answered a placement call.
    void answered(const HostId &host);
    /// A host has answered a probe.
    void probeAnswered(const HostId &host, TimePoint now);
    /// A host, which may be this one, is not to be asked as owner before \p until. Logs it as \p event if the host was not passed over yet.
    void declined(const HostId &host, TimePoint until, const char *event);

    const OwnerSelector &owners() const;
    /// The link to a member, which is made on first use.
    PeerLink &link(const HostId &host);
    /// Sends the message to \p host if it is a member.
    void sendToMember(const HostId &host, Wire::PeerMessageT &&message);
    /// Probes the hosts that are passed over because they did not answer. After some without any answer the next goes over a new connection, because the old
    /// one may pass nothing any more.
    void sendProbes(TimePoint now);
    /// Makes links to the hosts that pass on what all hosts must learn.
    void connectRelays();

    std::vector<HostId> memberIds() const;
    bool isMember(const HostId &host) const;
    /// Whether this host knows no other one.
    bool alone() const;
    /// The number of hosts that have an entry and do not leave, this one included.
    std::size_t listedCount() const;
    /// The number of members without an entry.
    std::size_t unlistedCount() const;
    /// Whether this host has declined to place requests within the time for which it is passed over.
    bool declining() const;

private:
    /// Closes the link to the host, if there is one; the next message makes another.
    void closeLink(const HostId &host);
    /// Logs the changes and applies them. Returns the hosts whose former process is not a member any more.
    std::vector<HostId> apply(const FleetMembership::Changes &changes);

    HostId m_self;
    PeerConnections &m_connections;
    EventLog &m_log;
    Greeting m_greeting;
    FleetMembership m_membership;
    OwnerSelector m_owners;
    std::map<HostId, FleetHost> m_members;
    std::map<HostId, unsigned> m_unansweredProbes; ///< How many probes each host has not answered, not even late, since the link was made.
};

}
