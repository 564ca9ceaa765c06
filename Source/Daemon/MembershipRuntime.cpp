#include "Daemon/MembershipRuntime.h"

#include "Daemon/WireAttempt.h"
#include "Daemon/WireMembership.h"
#include "Peer/PeerConnection.h"

namespace Mangofall {

namespace {

using namespace Membership;

constexpr std::chrono::seconds seedProbeInterval{2};

// Other hosts suspect this one after three missed heartbeats at one second intervals and a probe that fails after half a second.
constexpr std::chrono::milliseconds pauseLimit{3500};

// Shards of the order ledger per region. Must not change: the shard of an order is derived from its key and this number.
constexpr std::uint32_t ledgerShardsPerRegion = 8;

Heartbeat makeLocalHeartbeat(const HostContext &host)
{
    Heartbeat self;
    self.host = host.settings.hostId;
    self.incarnation = host.incarnation;
    self.dataCentre = host.settings.dataCentre;
    self.region = host.settings.region;
    self.address = host.settings.advertisedAddress;
    self.port = host.settings.peerListener.port;
    return self;
}

bool isLive(HostState state)
{
    return state == HostState::Alive || state == HostState::Suspect || state == HostState::Leaving;
}

}

MembershipRuntime::MembershipRuntime(boost::asio::io_context &, HostContext &host, ControlLinks &links, MembershipObserver &observer)
    : m_host(host)
    , m_links(links)
    , m_observer(observer)
    , m_log("membership")
    , m_table(makeLocalHeartbeat(host), MembershipSettings{})
    , m_sender(m_table)
    , m_pauseDetector(pauseLimit)
{
}

void MembershipRuntime::tick(TimePoint now, const std::string &load, const std::string &dataCentreLoad)
{
    m_finishedProbes.clear();
    handlePause(PauseTick{});
    apply(MembershipTick{});
    if (now >= m_nextSeedProbe) {
        m_nextSeedProbe = now + seedProbeInterval;
        probeSeeds();
    }
    if (m_hostsChanged) {
        m_hostsChanged = false;
        updateHeartbeatPlan();
        recomputeOwnership();
    }
    for (const SenderAction &action : m_sender.handle(SenderTick{load, dataCentreLoad}, now)) {
        if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action)) {
            send(heartbeat->target, toMessage(toWire(heartbeat->heartbeat)));
        } else if (const auto *digest = std::get_if<SendDigest>(&action)) {
            Wire::DigestMessageT message;
            message.digest = toWire(digest->digest);
            send(digest->target, toMessage(std::move(message)));
        }
    }
}

bool MembershipRuntime::handle(const std::shared_ptr<PeerConnection> &connection, const Wire::PeerMessageT &message)
{
    if (const Wire::HeartbeatT *wire = message.body.AsHeartbeat()) {
        const Heartbeat heartbeat = fromWire(*wire);
        m_observer.peerReported(heartbeat.host, heartbeat.revision);
        m_observer.loadsReceived(heartbeat.loadSummary);
        apply(HeartbeatReceived{heartbeat});
        for (const DataCentreDigest &digest : heartbeat.digests) {
            m_observer.loadsReceived(digest.loadSummary);
            apply(DigestReceived{digest});
        }
    } else if (const Wire::DigestMessageT *wire = message.body.AsDigestMessage()) {
        if (wire->digest) {
            const DataCentreDigest digest = fromWire(*wire->digest);
            m_observer.loadsReceived(digest.loadSummary);
            apply(DigestReceived{digest});
            m_sender.handle(LinkDigestReceived{digest}, std::chrono::steady_clock::now());
        }
    } else if (const Wire::MembershipProbeT *probe = message.body.AsMembershipProbe()) {
        Wire::MembershipProbeAnswerT answer;
        answer.probe = probe->probe;
        answer.heartbeat = std::make_unique<Wire::HeartbeatT>(toWire(m_table.nextHeartbeat()));
        connection->send(toMessage(std::move(answer)));
    } else {
        return false;
    }
    return true;
}

void MembershipRuntime::handleHostList(std::vector<ListedHost> hosts)
{
    std::erase_if(hosts, [this](const ListedHost &listed) {
        return listed.host == m_host.settings.hostId;
    });
    apply(HostListReceived{std::move(hosts)});
}

void MembershipRuntime::handleRoster(const DataCentreRoster &roster)
{
    apply(RosterReceived{roster});
}

void MembershipRuntime::connectionBroken(const HostId &host)
{
    apply(ConnectionBroken{host});
}

void MembershipRuntime::setConfiguration(const FleetConfiguration &configuration)
{
    apply(LocalRevisionChanged{configuration.revision});
    m_outOfService = configuration.outOfService.hosts;
    KeysChanged keys;
    for (const auto &[id, spec] : configuration.upstreams) {
        keys.upstreams[id] = spec.dataCentre;
    }
    keys.shards[m_host.settings.region] = ledgerShardsPerRegion;
    const std::vector<OwnershipMoved> moves = m_ownership.handle(keys);
    m_observer.viewChanged(moves);
    recomputeOwnership();
}

void MembershipRuntime::setLeaving()
{
    m_leaving = true;
    apply(LocalLeaving{});
    m_hostsChanged = true;
}

const MembershipTable &MembershipRuntime::table() const
{
    return m_table;
}

std::shared_ptr<const OwnershipSnapshot> MembershipRuntime::ownership() const
{
    return m_ownership.snapshot();
}

bool MembershipRuntime::mayDispatch() const
{
    return m_dispatching;
}

std::map<HostId, PeerAddress> MembershipRuntime::peers() const
{
    std::map<HostId, PeerAddress> peers;
    for (const auto &[id, record] : m_table.hosts()) {
        if (isLive(record.status.state)) {
            peers[id] = {record.status.address, record.status.port};
        }
    }
    return peers;
}

std::map<HostId, PeerAddress> MembershipRuntime::peersOfDataCentre() const
{
    std::map<HostId, PeerAddress> peers;
    for (const auto &[id, record] : m_table.hosts()) {
        if (isLive(record.status.state) && record.status.dataCentre == m_host.settings.dataCentre) {
            peers[id] = {record.status.address, record.status.port};
        }
    }
    return peers;
}

void MembershipRuntime::apply(const MembershipEvent &event)
{
    for (const MembershipAction &action : m_table.handle(event, std::chrono::steady_clock::now())) {
        std::visit(
            [this](const auto &typed) {
                on(typed);
            },
            action);
    }
}

void MembershipRuntime::on(const ProbeHost &action)
{
    const PeerAddress address{action.address, action.port};
    m_probes[action.probe] = std::make_unique<MembershipProbe>(m_links, address, action.probe, [this, action](const std::optional<Heartbeat> &answer) {
        auto finished = m_probes.extract(action.probe);
        if (!finished.empty()) {
            m_finishedProbes.push_back(std::move(finished.mapped()));
        }
        if (answer) {
            apply(ProbeAnswered{action.host, action.probe, *answer});
        } else {
            apply(ProbeFailed{action.host, action.probe});
        }
    });
}

void MembershipRuntime::on(const ReplaceConnection &action)
{
    m_links.replace(action.host);
}

void MembershipRuntime::on(const HostStateChanged &action)
{
    m_hostsChanged = true;
    if (action.now == HostState::Dead) {
        m_log.warning("Host " + action.host.value() + " is dead.");
        m_links.replace(action.host);
        m_observer.hostDied(action.host);
    } else if (action.now == HostState::Suspect) {
        m_log.warning("Host " + action.host.value() + " is suspect.");
    } else if (action.now == HostState::Alive) {
        m_log.info("Host " + action.host.value() + " is alive.");
    }
}

void MembershipRuntime::on(const FetchConfiguration &action)
{
    m_observer.fetchConfiguration(action.host, action.revision);
}

void MembershipRuntime::on(const SpreadSuspicion &action)
{
    for (const auto &[host, address] : peersOfDataCentre()) {
        DataCentreDigest digest;
        digest.dataCentre = m_host.settings.dataCentre;
        digest.region = m_host.settings.region;
        digest.sender = m_host.settings.hostId;
        digest.senderIncarnation = m_host.incarnation;
        digest.hosts = {action.claim};
        Wire::DigestMessageT message;
        message.digest = toWire(digest);
        m_links.send(host, address, toMessage(std::move(message)));
    }
}

void MembershipRuntime::on(const DataCentreUnreachable &action)
{
    m_log.warning("Data centre " + action.dataCentre.value() + " is unreachable.");
    m_hostsChanged = true;
}

void MembershipRuntime::on(const DataCentreReachable &action)
{
    m_log.info("Data centre " + action.dataCentre.value() + " is reachable.");
    m_hostsChanged = true;
}

void MembershipRuntime::on(const ViewRenewed &)
{
    handlePause(MembershipRenewed{});
}

void MembershipRuntime::on(const LocalHostReplaced &)
{
    m_log.error("A newer process with this host's id is running; this process shuts down.");
    m_observer.localHostReplaced();
}

void MembershipRuntime::probeSeeds()
{
    if (!peers().empty()) {
        return;
    }
    m_seedProbes.clear();
    for (const NetworkAddress &seed : m_host.settings.peers) {
        const PeerAddress address{seed.address, seed.port};
        m_seedProbes.push_back(std::make_unique<MembershipProbe>(m_links, address, 0, [this](const std::optional<Heartbeat> &answer) {
            if (answer && answer->host != m_host.settings.hostId) {
                apply(HeartbeatReceived{*answer});
            }
        }));
    }
}

void MembershipRuntime::handlePause(const PauseEvent &event)
{
    for (const PauseAction &action : m_pauseDetector.handle(event, std::chrono::steady_clock::now())) {
        if (const auto *stop = std::get_if<StopDispatch>(&action)) {
            const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(stop->pause);
            m_log.warning("This host was paused for " + std::to_string(pause.count()) + " ms; dispatch stops until the membership view is renewed.");
            m_dispatching = false;
            m_observer.viewChanged({});
        } else if (std::holds_alternative<RenewView>(action)) {
            apply(ViewExpired{});
        } else {
            m_log.info("The membership view is renewed; dispatch resumes.");
            m_dispatching = true;
            m_observer.viewChanged({});
        }
    }
}

void MembershipRuntime::updateHeartbeatPlan()
{
    std::vector<PlannedHost> hosts = {{m_host.settings.hostId, m_host.settings.dataCentre}};
    for (const auto &[id, record] : m_table.hosts()) {
        if (isLive(record.status.state)) {
            hosts.push_back({id, record.status.dataCentre});
        }
    }
    const HeartbeatPlan plan(hosts, HeartbeatPlanSettings{});
    const HostId &self = m_host.settings.hostId;
    m_sender.handle(PlanAdopted{plan}, std::chrono::steady_clock::now());
    apply(ExpectationsChanged{plan.meshInterval(self), plan.watchedBy(self), plan.watchInterval(), plan.linkInterval(self)});
    m_host.metrics.liveHosts().Set(static_cast<double>(hosts.size()));
}

void MembershipRuntime::recomputeOwnership()
{
    m_observer.viewChanged(m_ownership.handle(HostsChanged{statuses()}));
}

std::vector<HostStatus> MembershipRuntime::statuses() const
{
    std::vector<HostStatus> statuses;
    const DataCentreRoster roster = m_table.roster();
    const auto self = roster.hosts.find(m_host.settings.hostId);
    if (self != roster.hosts.end()) {
        statuses.push_back(self->second);
        statuses.back().state = m_leaving ? HostState::Leaving : HostState::Alive;
    }
    for (const auto &[id, record] : m_table.hosts()) {
        statuses.push_back(record.status);
    }
    for (HostStatus &status : statuses) {
        // A host that operators took out of service must own nothing, so it is treated like one that leaves.
        if (m_outOfService.contains(status.host) && status.state != HostState::Dead) {
            status.state = HostState::Leaving;
        }
    }
    return statuses;
}

void MembershipRuntime::send(const HostId &host, Wire::PeerMessageT &&message)
{
    const auto record = m_table.hosts().find(host);
    if (record != m_table.hosts().end()) {
        m_links.send(host, {record->second.status.address, record->second.status.port}, std::move(message));
    }
}

}
