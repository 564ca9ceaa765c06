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

/// A digest arrived over a link between data centres, or a claim about one host arrived from a peer of the own data centre.
struct DigestReceived {
    DataCentreDigest digest;
};

/// A data centre's roster was read from the store or sent by a peer on connection.
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

/// The platform's host list was read; it lags behind.
struct HostListReceived {
    std::vector<ListedHost> hosts;
};

/// A probe on a new connection was answered; \c answer comes from whichever host runs at the address now.
struct ProbeAnswered {
    HostId host;
    std::uint64_t probe = 0;
    Heartbeat answer;
};

/// A probe was refused or could not connect.
struct ProbeFailed {
    HostId host;
    std::uint64_t probe = 0;
};

/// A connection to the host closed or made no progress.
struct ConnectionBroken {
    HostId host;
};

/// The heartbeat plan changed.
struct ExpectationsChanged {
    Duration meshInterval{}; ///< Between heartbeats of a host of the own data centre.
    std::set<HostId> watched; ///< Hosts that send this host a heartbeat every \c watchInterval.
    Duration watchInterval{};
    Duration digestInterval{}; ///< Between digests of another data centre.
};

/// The local configuration in force changed.
struct LocalRevisionChanged {
    Revision revision = 0;
};

/// This host starts its planned stop.
struct LocalLeaving {
};

/// This host was paused: what it knows is out of date.
struct ViewExpired {
};

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
