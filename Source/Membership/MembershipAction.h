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

/// Replace the control connection: the host answered a probe on a new connection while the existing one was silent.
struct ReplaceConnection {
    HostId host;
};

/// A host's state changed. A new incarnation is reported as the death of the old one followed by the arrival of the new one.
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

/// Send the suspicion to the other hosts of this data centre, so that they probe the suspect host themselves.
struct SpreadSuspicion {
    HostStatus claim;
};

/// No digests arrive from the data centre, and none of its probed hosts answered.
struct DataCentreUnreachable {
    DataCentreId dataCentre;
};

/// A digest arrived from a data centre that counted as unreachable.
struct DataCentreReachable {
    DataCentreId dataCentre;
};

/// Every probe that ViewExpired started has been answered or has failed.
struct ViewRenewed {
};

/// A newer process runs under this host's id; this process must stop.
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
