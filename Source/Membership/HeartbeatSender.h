#pragma once

#include "Membership/HeartbeatPlan.h"
#include "Membership/MembershipTable.h"

#include <variant>

namespace Mangofall::Membership {

/// The heartbeat plan computed from this host's view changed.
struct PlanAdopted {
    HeartbeatPlan plan;
};

/// A digest arrived directly over a link; it must be relayed within the data centre.
struct LinkDigestReceived {
    DataCentreDigest digest;
};

/// Periodic tick at which due messages are sent.
struct SenderTick {
    std::string loadSummary; ///< Opaque load of this host.
    std::string dataCentreLoadSummary; ///< Opaque load of the whole data centre.
};

using SenderEvent = std::variant<PlanAdopted, LinkDigestReceived, SenderTick>;

struct SendHeartbeat {
    HostId target;
    Heartbeat heartbeat;
};

struct SendDigest {
    HostId target;
    DataCentreDigest digest;
};

using SenderAction = std::variant<SendHeartbeat, SendDigest>;

/**
 * \class HeartbeatSender
 * \brief Decides at each tick which heartbeats and digests of this host are due under the plan.
 */
class HeartbeatSender
{
public:
    using Actions = std::vector<SenderAction>;

    /// \p table supplies the heartbeats and the claims; it must outlive the sender.
    explicit HeartbeatSender(MembershipTable &table);

    Actions handle(const SenderEvent &event, TimePoint now);

private:
    /// When the next messages to a host are due; the maximum if the plan has none.
    struct Target {
        TimePoint nextWatch = TimePoint::max();
        TimePoint nextMesh = TimePoint::max();
        TimePoint nextLink = TimePoint::max();
    };

    void on(const PlanAdopted &event, TimePoint now, Actions &actions);
    void on(const LinkDigestReceived &event, TimePoint now, Actions &actions);
    void on(const SenderTick &event, TimePoint now, Actions &actions);
    DataCentreDigest composeDigest(const std::string &loadSummary, TimePoint now);

    MembershipTable &m_table;
    std::map<HostId, Target> m_targets;
    Duration m_watchInterval{};
    Duration m_meshInterval{};
    Duration m_linkInterval{};
    std::map<DataCentreId, std::pair<DataCentreDigest, TimePoint>> m_relayedDigests; ///< Last digest of each data centre and its arrival.
    std::uint64_t m_digestSequence = 0;
    HostId m_lastRotated; ///< Last host whose claim a digest carried in rotation.
};

}
