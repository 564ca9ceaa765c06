#pragma once

#include "Membership/HeartbeatPlan.h"
#include "Membership/MembershipTable.h"

#include <variant>

namespace Mangofall::Membership {

/// The local view's plan changed.
struct PlanAdopted {
    HeartbeatPlan plan;
};

/// A digest arrived directly over a link and is to be relayed within the data centre.
struct LinkDigestReceived {
    DataCentreDigest digest;
};

struct SenderTick {
    std::string loadSummary; ///< Opaque; of this host.
    std::string dataCentreLoadSummary; ///< Opaque; of the whole data centre.
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
 * \brief Sends this host's heartbeats and digests when the plan says that they are due.
 */
class HeartbeatSender
{
public:
    using Actions = std::vector<SenderAction>;

    /// \p table gives the heartbeats and the claims; it must outlive the sender.
    explicit HeartbeatSender(MembershipTable &table);

    Actions handle(const SenderEvent &event, TimePoint now);

private:
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
    std::map<DataCentreId, std::pair<DataCentreDigest, TimePoint>> m_relayed;
    std::uint64_t m_digestSequence = 0;
    HostId m_rotation; ///< Last host whose claim was sent in rotation.
};

}
