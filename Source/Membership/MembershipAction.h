#pragma once

#include "Membership/HostStatus.h"

#include <variant>

namespace Mangofall::Membership {

/// Open a new connection to the address and ask for a heartbeat; report ProbeAnswered or ProbeFailed with the same number.
struct ProbeHost {
    HostId host;
    std::uint64_t probe = 0;
    std::string address;
    std::uint16_t port = 0;
};

/// Replace the control connection: the host answered a probe on a new one while the present one carried nothing.
struct ReplaceConnection {
    HostId host;
};

/// A host's state changed; a higher incarnation is reported as the old one's death and the new one's arrival.
struct HostStateChanged {
    HostId host;
    std::uint64_t incarnation = 0;
    HostState before = HostState::Listed;
    HostState now = HostState::Listed;
};

/// Fetch the configuration from this peer, which has a higher revision.
struct FetchConfiguration {
    HostId host;
    Revision revision = 0;
};

/// Tell the other hosts of the own data centre, so that they probe the host themselves.
struct SpreadSuspicion {
    HostStatus claim;
};

/// No digest arrives from the data centre and none of the probed hosts there answered.
struct DataCentreUnreachable {
    DataCentreId dataCentre;
};

struct DataCentreReachable {
    DataCentreId dataCentre;
};

/// Every probe that ViewExpired started has been answered or has failed.
struct ViewRenewed {
};

/// A newer process runs under this host's id; this one must stop.
struct LocalHostReplaced {
    std::uint64_t incarnation = 0;
};

using MembershipAction = std::variant<ProbeHost,
                                      ReplaceConnection,
                                      HostStateChanged,
                                      FetchConfiguration,
                                      SpreadSuspicion,
                                      DataCentreUnreachable,
                                      DataCentreReachable,
                                      ViewRenewed,
                                      LocalHostReplaced>;

}
