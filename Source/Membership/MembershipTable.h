#pragma once

#include "Membership/HostRecord.h"
#include "Membership/MembershipAction.h"
#include "Membership/MembershipEvent.h"
#include "Membership/MembershipSettings.h"

#include <map>

namespace Mangofall::Membership {

/**
 * \class MembershipTable
 * \brief Decides which hosts are alive, from heartbeats, probes, digests, rosters and the platform's host list.
 *
 * The state of hosts of this host's data centre follows only from its own observations; claims of other hosts merely cause a
 * probe. The state of hosts of other data centres follows from claims; a broken connection to such a host causes a probe as well.
 */
class MembershipTable
{
public:
    using Actions = std::vector<MembershipAction>;

    /// \p self describes this host; its incarnation must exceed that of every earlier process of the same id.
    MembershipTable(Heartbeat self, MembershipSettings settings);

    Actions handle(const MembershipEvent &event, TimePoint now);

    /// The next heartbeat of this host, with an incremented sequence.
    Heartbeat nextHeartbeat();

    const Heartbeat &self() const;
    const std::map<HostId, HostRecord> &hosts() const;
    /// Claims about all hosts of this data centre, this host included.
    DataCentreRoster roster() const;
    /// Load summary of the last digest of \p dataCentre; empty if there is none.
    std::string loadOf(const DataCentreId &dataCentre) const;
    bool isReachable(const DataCentreId &dataCentre) const;

private:
    struct RemoteDataCentre {
        TimePoint lastDigest;
        bool reachable = true;
        bool probing = false;
        std::map<HostId, std::pair<std::uint64_t, std::uint64_t>> senders; ///< Incarnation and sequence of each sender's last digest.
        std::string loadSummary;
    };

    void on(const HeartbeatReceived &event, TimePoint now, Actions &actions);
    void on(const DigestReceived &event, TimePoint now, Actions &actions);
    void on(const RosterReceived &event, TimePoint now, Actions &actions);
    void on(const HostListReceived &event, TimePoint now, Actions &actions);
    void on(const ProbeAnswered &event, TimePoint now, Actions &actions);
    void on(const ProbeFailed &event, TimePoint now, Actions &actions);
    void on(const ConnectionBroken &event, TimePoint now, Actions &actions);
    void on(const ExpectationsChanged &event, TimePoint now, Actions &actions);
    void on(const LocalRevisionChanged &event, TimePoint now, Actions &actions);
    void on(const LocalLeaving &event, TimePoint now, Actions &actions);
    void on(const ViewExpired &event, TimePoint now, Actions &actions);
    void on(const MembershipTick &event, TimePoint now, Actions &actions);

    bool isInOwnDataCentre(const HostRecord &record) const;
    Duration silenceLimit(const HostId &host) const;
    bool accept(const Heartbeat &heartbeat, TimePoint now, Actions &actions);
    void adopt(HostRecord &record, const Heartbeat &heartbeat, TimePoint now, Actions &actions);
    void mergeClaim(const HostStatus &claim, TimePoint now, Actions &actions);
    /// Raises this host's sequence so that its next heartbeat supersedes a claim that it is suspect or dead.
    void refute(const HostStatus &claim);
    void setState(HostRecord &record, HostState state, TimePoint now, Actions &actions);
    void startProbes(HostRecord &record, ProbeCause cause, TimePoint now, Actions &actions);
    void sendProbe(HostRecord &record, TimePoint now, Actions &actions);
    void probeFailed(HostRecord &record, TimePoint now, Actions &actions);
    void probeOtherHostsAtAddress(const Heartbeat &heartbeat, TimePoint now, Actions &actions);
    void compareRevision(const Heartbeat &heartbeat, TimePoint now, Actions &actions);
    void tickHost(HostRecord &record, TimePoint now, Actions &actions);
    void tickDataCentre(const DataCentreId &id, RemoteDataCentre &remote, TimePoint now, Actions &actions);
    void forgetDead(TimePoint now);
    /// Notes that \p host answered or failed its probe, and reports ViewRenewed after the last host.
    void finishRenewalOf(const HostId &host, Actions &actions);

    Heartbeat m_self;
    MembershipSettings m_settings;
    ExpectationsChanged m_expectations;
    std::map<HostId, HostRecord> m_hosts;
    std::map<DataCentreId, RemoteDataCentre> m_remoteDataCentres;
    std::uint64_t m_lastProbe = 0;
    Revision m_fetchedRevision = 0;
    TimePoint m_fetchedAt;
    bool m_renewing = false;
    std::set<HostId> m_pendingRenewals;
};

}
