#pragma once

#include "Membership/DataCentreRoster.h"
#include "Membership/Heartbeat.h"

#include "Base/Time.h"

#include <set>
#include <variant>
#include <vector>

namespace Mangofall::Membership {

/// A heartbeat arrived over a control connection.
struct HeartbeatReceived {
    Heartbeat heartbeat;
};

/// A digest arrived over a link between data centres, or a peer of this data centre sent a claim about one host.
struct DigestReceived {
    DataCentreDigest digest;
};

/// A peer sent a data centre's roster when it connected, or the roster was read from the store.
struct RosterReceived {
    DataCentreRoster roster;
};

/// One entry of the platform's host list.
struct ListedHost {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;
};

/// The platform's host list was read; its contents may be out of date.
struct HostListReceived {
    std::vector<ListedHost> hosts;
};

/// A probe on a new connection was answered; \c answer comes from the host that runs at the address now.
struct ProbeAnswered {
    HostId host;
    std::uint64_t probe = 0;
    Heartbeat answer;
};

/// A probe's connection failed or was refused.
struct ProbeFailed {
    HostId host;
    std::uint64_t probe = 0;
};

/// A connection to the host closed or made no progress.
struct ConnectionBroken {
    HostId host;
};

/// The heartbeat plan changed, and with it the messages that this host expects.
struct ExpectationsChanged {
    Duration meshInterval{}; ///< Between heartbeats of a host of this data centre.
    std::set<HostId> watched; ///< Hosts that send this host a heartbeat every \c watchInterval.
    Duration watchInterval{};
    Duration digestInterval{}; ///< Between digests of another data centre.
};

/// This host put another revision of the configuration in force.
struct LocalRevisionChanged {
    Revision revision = 0;
};

/// This host starts its planned stop.
struct LocalLeaving {
};

/// This host was paused, so its view is out of date.
struct ViewExpired {
};

/// Periodic tick that lets time limits take effect.
struct MembershipTick {
};

using MembershipEvent = std::variant<HeartbeatReceived,
                                     DigestReceived,
                                     RosterReceived,
                                     HostListReceived,
                                     ProbeAnswered,
                                     ProbeFailed,
                                     ConnectionBroken,
                                     ExpectationsChanged,
                                     LocalRevisionChanged,
                                     LocalLeaving,
                                     ViewExpired,
                                     MembershipTick>;

}
