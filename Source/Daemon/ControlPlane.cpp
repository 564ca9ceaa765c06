#include "Daemon/ControlPlane.h"

#include "Base/AsyncTasks.h"
#include "Base/Hash.h"
#include "Config/FleetJson.h"
#include "Config/OperatorLists.h"
#include "Config/OperatorStatus.h"
#include "Daemon/TrafficWorker.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireCrashNotice.h"
#include "Daemon/WireHandOver.h"
#include "Daemon/WireLoad.h"
#include "Peer/PeerCodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <csignal>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

using Json = nlohmann::json;

constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::uint32_t ticksPerHostList = 20;
constexpr std::chrono::milliseconds hostListTimeout{1000};
constexpr std::chrono::seconds helloTimeout{2};
constexpr std::size_t maxHelloBytes = 64UL * 1024;
constexpr std::size_t watchersPerDataCentre = 2;
constexpr std::size_t maxDigestLoads = 64;
constexpr std::uint32_t ticksPerSpanFlush = 5;

// Time that the balancer and the peers get, after a host has announced that it leaves, to stop sending new requests to it.
constexpr std::chrono::milliseconds leavingPropagationTime{1500};

// Time to wait for a hand-over if the former dispatcher is not known; it may come from a host that is not yet in the membership table.
constexpr std::chrono::seconds unknownOwnerTimeout{3};

const char *nameOf(Membership::HostState state)
{
    switch (state) {
    case Membership::HostState::Listed:
        return "listed";
    case Membership::HostState::Alive:
        return "alive";
    case Membership::HostState::Leaving:
        return "leaving";
    case Membership::HostState::Suspect:
        return "suspect";
    case Membership::HostState::Dead:
        break;
    }
    return "dead";
}

const char *nameOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Unknown:
        return "unknown";
    case UpstreamState::Cold:
        return "cold";
    case UpstreamState::Warming:
        return "warming";
    case UpstreamState::Warm:
        return "warm";
    case UpstreamState::Suspect:
        return "suspect";
    case UpstreamState::Out:
        return "out";
    case UpstreamState::Leaving:
        break;
    }
    return "leaving";
}

Membership::ListedHost toListed(const HostListEntry &entry, std::uint16_t defaultPort)
{
    Membership::ListedHost host;
    host.host = entry.id;
    host.dataCentre = entry.dataCentre;
    const std::size_t colon = entry.address.rfind(':');
    host.address = entry.address.substr(0, colon);
    host.port = defaultPort;
    if (colon != std::string::npos) {
        std::from_chars(entry.address.data() + colon + 1, entry.address.data() + entry.address.size(), host.port);
    }
    host.leaving = entry.state == HostListState::Leaving;
    return host;
}

}

ControlPlane::ControlPlane(HostContext &host, std::string operatorKey)
    : m_host(host)
    , m_log("control")
    , m_context(1)
    , m_timer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_random(hash64(host.settings.hostId.value()) + host.incarnation)
    , m_pool(host, *this)
    , m_keyValueStore(m_context, host.settings.store)
    , m_hostList(m_context, host.settings.hostList)
    , m_store(m_keyValueStore, host.metrics, m_random)
    , m_links(m_context, host, *this)
    , m_membership(m_context, host, m_links, *this)
    , m_configuration(m_store, m_random, *this)
    , m_orders(m_context, host, m_pool, m_store, *this)
    , m_operatorHandler(*this, std::move(operatorKey))
    , m_operatorListener(m_context, m_operatorHandler, host.settings.maxBodyBytes)
    , m_peerListener(m_context, [this](Asio::ip::tcp::socket socket) {
        Asio::co_spawn(m_context, readHello(std::move(socket)), Asio::detached);
    })
{
}

ControlPlane::~ControlPlane() = default;

std::error_code ControlPlane::listen()
{
    const Settings &settings = m_host.settings;
    std::error_code error = m_peerListener.listen(settings.peerListener.address, settings.peerListener.port, false);
    if (!error) {
        error = m_operatorListener.listen(settings.operatorListener.address, settings.operatorListener.port);
    }
    if (!error) {
        error = m_pool.start();
    }
    return error;
}

void ControlPlane::run()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            startShutdown();
        }
    });
    m_host.quarantine.setHandler([this](std::vector<QuarantineAction> actions) {
        Asio::post(m_context, [this, actions = std::move(actions)] {
            execute(actions);
        });
    });
    m_configuration.start();
    scheduleTick();
    runReportingErrors(m_context, [this](const char *problem) {
        m_log.error(std::string("A handler failed: ") + problem);
    });
    m_pool.stop();
    m_host.spans.flush();
}

Asio::io_context &ControlPlane::context()
{
    return m_context;
}

std::uint16_t ControlPlane::operatorPort() const
{
    return m_operatorListener.port();
}

std::uint16_t ControlPlane::callerPort() const
{
    return m_pool.callerPort();
}

std::uint16_t ControlPlane::peerPort() const
{
    return m_peerListener.port();
}

void ControlPlane::submitChange(ConfigurationChange change, ConfigurationRuntime::ChangeHandler handler)
{
    m_configuration.submit(std::move(change), std::move(handler));
}

bool ControlPlane::resolveOrder(const OrderKey &key, bool ran)
{
    return m_orders.resolve(key, ran);
}

Json ControlPlane::statusJson() const
{
    OperatorStatus status;
    status.hostId = m_host.settings.hostId;
    status.revision = m_configuration.replica().revision();
    status.admitting = m_admitting && !m_leaving && !isOutOfService();
    status.hosts.push_back({m_host.settings.hostId, m_host.settings.dataCentre, m_leaving ? "leaving" : "alive", status.revision});
    for (const auto &[id, record] : m_membership.table().hosts()) {
        if (record.status.state != Membership::HostState::Listed) {
            status.hosts.push_back({id, record.status.dataCentre, nameOf(record.status.state), record.status.revision});
        }
    }
    if (m_routing) {
        const FleetConfiguration &configuration = m_routing->configuration();
        status.presetInForce = configuration.presetInForce;
        status.outOfService = configuration.outOfService;
        for (const auto &[upstream, load] : m_knownLoads) {
            const auto spec = configuration.upstreams.find(upstream);
            if (spec != configuration.upstreams.end()) {
                status.upstreams.push_back({upstream, spec->second.dataCentre, nameOf(load.state), load.inFlightRequests, load.caps.requests});
            }
        }
    }
    return encodeOperatorStatus(status);
}

Json ControlPlane::configurationJson() const
{
    return encodeFleetConfiguration(m_routing ? m_routing->configuration() : FleetConfiguration());
}

Json ControlPlane::historyJson() const
{
    return encodeHistory(m_routing ? m_routing->configuration().recentChanges : std::vector<RecentChange>());
}

Json ControlPlane::limitsJson() const
{
    std::vector<OperatorLimit> limits;
    if (m_routing) {
        const std::size_t hosts = m_host.limits.hosts();
        for (const auto &[id, organisation] : m_routing->configuration().organisations) {
            OperatorLimit limit;
            limit.organisation = id;
            limit.requestsPerSecond = organisation.requestsPerSecond;
            limit.requestsPerSecondHere = organisation.requestsPerSecond / static_cast<double>(hosts);
            limit.tokensInFlight = organisation.tokensInFlight;
            limit.tokensInFlightHere = organisation.tokensInFlight / hosts;
            limit.tokensUsedHere = m_host.limits.tokensInFlight(id);
            limit.refused = m_host.limits.refused(id);
            limits.push_back(limit);
        }
    }
    return encodeOperatorLimits(limits);
}

Json ControlPlane::ordersJson() const
{
    std::vector<OperatorOrder> orders;
    for (const Orders::OrderRecord &record : m_orders.unresolved()) {
        orders.push_back({record.claim.key.value(), "unknown", m_host.settings.hostId, record.claim.claimedAt});
    }
    return encodeOperatorOrders(orders);
}

void ControlPlane::submitOrder(OrderSubmission &&order, std::function<void(OrderAnswer)> answered)
{
    auto shared = std::make_shared<OrderSubmission>(std::move(order));
    Asio::post(m_context, [this, shared, answered = std::move(answered)] {
        m_orders.submit(std::move(*shared), answered);
    });
}

void ControlPlane::sendHandOver(const HandOverMessage &message)
{
    Asio::post(m_context, [this, message] {
        const auto ownership = m_membership.ownership();
        const Membership::Owner *owner = ownership ? ownership->dispatcherOf(message.upstream) : nullptr;
        if (owner != nullptr && owner->host != m_host.settings.hostId) {
            sendToPeer(owner->host, toMessage(toWire(message)));
        }
    });
}

void ControlPlane::reportLoads(std::size_t worker, std::vector<LoadSummary> loads)
{
    Asio::post(m_context, [this, worker, loads = std::move(loads)] {
        for (const LoadSummary &load : loads) {
            m_knownLoads[load.upstream] = load;
        }
        m_loads[worker] = loads;
    });
}

void ControlPlane::upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to)
{
    m_host.metrics.upstreamStateChanges(nameOf(to)).Increment();
    m_log.info("Upstream " + upstream.value() + " changed from " + nameOf(from) + " to " + nameOf(to) + ".");
}

void ControlPlane::linkBroken(const HostId &host)
{
    Asio::post(m_context, [this, host] {
        m_membership.connectionBroken(host);
    });
}

void ControlPlane::reportActivity(std::size_t worker, std::size_t sessions, std::size_t attempts, TimePoint latestDeadline)
{
    Asio::post(m_context, [this, worker, sessions, attempts, latestDeadline] {
        m_activity[worker] = {sessions, attempts, latestDeadline};
    });
}

void ControlPlane::viewChanged(const std::vector<Membership::OwnershipMoved> &moves)
{
    if (m_membership.mayDispatch() && !m_dispatching) {
        m_orders.confirmOwnership();
    }
    m_dispatching = m_membership.mayDispatch();
    recordOwnershipMoves(moves);
    m_orders.ownershipMoved(moves);
    chooseWatchers();
    publish();
}

void ControlPlane::hostDied(const HostId &)
{
    completeTakeovers(std::chrono::steady_clock::now());
}

void ControlPlane::fetchConfiguration(const HostId &host, Revision revision)
{
    m_configuration.peerReported(host, revision);
}

void ControlPlane::peerReported(const HostId &host, Revision revision)
{
    m_configuration.peerReported(host, revision);
}

void ControlPlane::loadsReceived(const std::string &report)
{
    if (report.empty()) {
        return;
    }
    const std::vector<LoadSummary> loads = decodeLoadReport(report);
    for (const LoadSummary &load : loads) {
        m_knownLoads[load.upstream] = load;
    }
    m_pool.updateLoads(loads);
}

void ControlPlane::localHostReplaced()
{
    startShutdown();
}

void ControlPlane::configurationAdopted(const std::shared_ptr<const FleetConfiguration> &configuration)
{
    m_routing = std::make_shared<RoutingIndex>(configuration);
    m_host.metrics.configurationRevision().Set(static_cast<double>(configuration->revision));
    m_membership.setConfiguration(*configuration);
    publish();
}

void ControlPlane::admittingChanged(bool admitting)
{
    m_admitting = admitting;
    publish();
}

void ControlPlane::sendToPeer(const HostId &host, Wire::PeerMessageT &&message)
{
    const auto &hosts = m_membership.table().hosts();
    const auto record = hosts.find(host);
    if (record != hosts.end()) {
        m_links.send(host, {record->second.status.address, record->second.status.port}, std::move(message));
    }
}

std::map<HostId, PeerAddress> ControlPlane::peersOfDataCentre() const
{
    return m_membership.peersOfDataCentre();
}

const Membership::Owner *ControlPlane::ownerOfShard(std::uint32_t shard) const
{
    const auto ownership = m_membership.ownership();
    return ownership ? ownership->ownerOf({m_host.settings.region, shard}) : nullptr;
}

std::shared_ptr<const RoutingIndex> ControlPlane::routing() const
{
    return m_routing;
}

void ControlPlane::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
    if (m_membership.handle(connection, message)) {
        return;
    }
    const auto inbound = m_inbound.find(connection);
    const HostId peer = inbound == m_inbound.end() ? m_links.hostOf(connection) : inbound->second;
    if (m_configuration.handle(peer, message) || m_orders.handle(peer, message)) {
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (const Wire::CrashNoticeT *notice = message.body.AsCrashNotice()) {
        m_host.quarantine.handle(NoticeReceived{peer, fromWire(*notice)}, now);
        return;
    }
    if (const Wire::CrashNoticeAckT *ack = message.body.AsCrashNoticeAck()) {
        if (ack->notice) {
            m_host.quarantine.handle(NoticeAcknowledged{peer, fromWire(*ack->notice)}, now);
        }
        return;
    }
    if (const Wire::HandOverT *handOver = message.body.AsHandOver()) {
        const HandOverMessage decoded = fromWire(*handOver);
        m_takeovers.erase(decoded.upstream);
        TrafficWorker &worker = m_pool.pinnedWorker(decoded.upstream);
        Asio::post(worker.context(), [&worker, decoded] {
            worker.handleDispatcherEvent(decoded.upstream, DispatcherEvent::HandOverReceived{decoded});
        });
    }
}

void ControlPlane::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    if (m_inbound.erase(connection) > 0) {
        return;
    }
    const HostId host = m_links.hostOf(connection);
    if (!host.empty()) {
        m_membership.connectionBroken(host);
    }
}

Asio::awaitable<void> ControlPlane::readHello(Asio::ip::tcp::socket accepted)
{
    const auto socket = std::make_shared<Asio::ip::tcp::socket>(std::move(accepted));
    Asio::steady_timer timer(m_context, helloTimeout);
    timer.async_wait([socket](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    std::array<std::uint8_t, frameHeaderBytes> header{};
    const auto [headerError, headerBytes] = co_await Asio::async_read(*socket, Asio::buffer(header), Asio::as_tuple(Asio::use_awaitable));
    if (headerError || frameLength(header) > maxHelloBytes) {
        co_return;
    }
    std::vector<std::uint8_t> payload(frameLength(header));
    const auto [payloadError, payloadBytes] = co_await Asio::async_read(*socket, Asio::buffer(payload), Asio::as_tuple(Asio::use_awaitable));
    Wire::PeerMessageT message;
    if (payloadError || decodeFrame(payload, message)) {
        co_return;
    }
    const Wire::HelloT *hello = message.body.AsHello();
    if (hello == nullptr) {
        co_return;
    }
    timer.cancel();
    if (hello->purpose == Wire::Purpose::Traffic) {
        m_pool.adopt(std::move(*socket), HostId(hello->host));
        co_return;
    }
    auto connection = std::make_shared<PeerConnection>(std::move(*socket), [this](std::size_t bytes) {
        m_host.metrics.peerSentBytes("control").Increment(static_cast<double>(bytes));
    });
    m_inbound[connection] = HostId(hello->host);
    connection->start(*this);
}

void ControlPlane::pollHostList()
{
    m_hostList.list(hostListTimeout, [this](const std::optional<std::vector<HostListEntry>> &entries) {
        if (!entries) {
            return;
        }
        std::vector<Membership::ListedHost> hosts;
        hosts.reserve(entries->size());
        for (const HostListEntry &entry : *entries) {
            // An address without a port means the same peer port as that of this host.
            hosts.push_back(toListed(entry, m_host.settings.peerListener.port));
        }
        m_membership.handleHostList(std::move(hosts));
    });
}

void ControlPlane::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void ControlPlane::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_membership.tick(now, loadReport(), dataCentreLoadReport());
    m_store.tick(now);
    m_configuration.tick();
    m_orders.tick(now);
    completeTakeovers(now);
    m_host.quarantine.handle(QuarantineTick{}, now);
    if (m_ticks % ticksPerHostList == 0) {
        pollHostList();
    }
    if (++m_ticks % ticksPerSpanFlush == 0 && m_host.spans.flush()) {
        m_log.warning("Trace spans could not be written to the spans file.");
    }
    if (m_leaving) {
        checkShutdown(now);
    }
}

void ControlPlane::publish()
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->routing = m_routing;
    const auto ownership = m_membership.ownership();
    if (ownership) {
        for (const auto &[upstream, owner] : ownership->dispatchers()) {
            snapshot->dispatchers[upstream] = owner.host;
        }
    }
    for (const auto &[host, address] : m_membership.peers()) {
        snapshot->peers[host] = address;
    }
    PeersChanged quarantinePeers;
    for (const auto &[host, address] : snapshot->peers) {
        quarantinePeers.peers.push_back(host);
    }
    m_host.quarantine.handle(quarantinePeers, std::chrono::steady_clock::now());
    snapshot->admitting = m_admitting && !isOutOfService();
    snapshot->leaving = m_leaving && !m_accepting;
    snapshot->ready = snapshot->admitting && !m_leaving;
    snapshot->dispatching = m_membership.mayDispatch();
    if (m_routing) {
        m_host.limits.setShares(std::chrono::steady_clock::now(), m_routing->configuration(), snapshot->peers.size() + 1);
    }
    m_pool.publish(snapshot);
}

void ControlPlane::recordOwnershipMoves(const std::vector<Membership::OwnershipMoved> &moves)
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (const Membership::OwnershipMoved &move : moves) {
        const auto *upstream = std::get_if<UpstreamId>(&move.key);
        if (upstream == nullptr) {
            continue;
        }
        if (move.now && move.now->host == m_host.settings.hostId) {
            Takeover takeover;
            takeover.since = now;
            if (move.before) {
                takeover.formerDispatcher = move.before->host;
            }
            m_takeovers[*upstream] = takeover;
        } else {
            m_takeovers.erase(*upstream);
        }
    }
}

void ControlPlane::completeTakeovers(TimePoint now)
{
    const auto &hosts = m_membership.table().hosts();
    for (auto position = m_takeovers.begin(); position != m_takeovers.end();) {
        const Takeover &takeover = position->second;
        const auto formerRecord = takeover.formerDispatcher ? hosts.find(*takeover.formerDispatcher) : hosts.end();
        const bool formerMayDispatch = formerRecord != hosts.end() && formerRecord->second.status.state != Membership::HostState::Dead;
        if (formerMayDispatch || (!takeover.formerDispatcher && now - takeover.since < unknownOwnerTimeout)) {
            ++position;
            continue;
        }
        TrafficWorker &worker = m_pool.pinnedWorker(position->first);
        Asio::post(worker.context(), [&worker, upstream = position->first] {
            worker.handleDispatcherEvent(upstream, DispatcherEvent::FormerOwnerDead{});
        });
        position = m_takeovers.erase(position);
    }
}

void ControlPlane::chooseWatchers()
{
    std::vector<std::pair<std::uint64_t, HostId>> scores;
    const std::string key = "watchers/" + m_host.settings.dataCentre.value();
    scores.emplace_back(rendezvousScore(key, m_host.settings.hostId.value()), m_host.settings.hostId);
    for (const auto &[host, address] : m_membership.peersOfDataCentre()) {
        scores.emplace_back(rendezvousScore(key, host.value()), host);
    }
    std::sort(scores.rbegin(), scores.rend());
    scores.resize(std::min(scores.size(), watchersPerDataCentre));
    m_configuration.setWatchesStore(std::any_of(scores.begin(), scores.end(), [this](const auto &entry) {
        return entry.second == m_host.settings.hostId;
    }));
}

void ControlPlane::execute(const std::vector<QuarantineAction> &actions)
{
    for (const QuarantineAction &action : actions) {
        if (const auto *send = std::get_if<SendNotice>(&action)) {
            sendToPeer(send->to, toMessage(toWire(send->notice)));
        } else if (const auto *acknowledge = std::get_if<AcknowledgeNotice>(&action)) {
            Wire::CrashNoticeAckT ack;
            ack.notice = std::make_unique<Wire::CrashNoticeT>(toWire(acknowledge->notice));
            sendToPeer(acknowledge->to, toMessage(std::move(ack)));
        } else if (const auto *release = std::get_if<ReleaseFailure>(&action)) {
            for (std::size_t index = 0; index < m_pool.size(); ++index) {
                TrafficWorker &worker = m_pool.worker(index);
                Asio::post(worker.context(), [&worker, fingerprint = release->fingerprint] {
                    worker.handleReleaseFailure(fingerprint);
                });
            }
        } else if (const auto *stop = std::get_if<CancelRun>(&action)) {
            TrafficWorker &worker = m_pool.pinnedWorker(stop->upstream);
            Asio::post(worker.context(), [&worker, stop = *stop] {
                worker.handleStopCopy(stop.fingerprint, stop.upstream);
            });
        }
    }
}

void ControlPlane::startShutdown()
{
    if (m_leaving) {
        return;
    }
    m_log.info("Leaving: new work is refused, work in progress finishes.");
    m_leaving = true;
    m_leavingSince = std::chrono::steady_clock::now();
    m_membership.setLeaving();
    publish();
}

void ControlPlane::checkShutdown(TimePoint now)
{
    std::size_t work = m_orders.isIdle() ? 0 : 1;
    TimePoint latest = m_leavingSince;
    for (const auto &[worker, activity] : m_activity) {
        work += activity.sessions + activity.attempts;
        latest = std::max(latest, activity.latestDeadline);
    }
    const bool propagated = now - m_leavingSince >= leavingPropagationTime;
    if (propagated && m_accepting) {
        m_accepting = false;
        publish();
        m_pool.stopAccepting();
    }
    if (propagated && (work == 0 || now > latest + leavingPropagationTime)) {
        m_log.info(work == 0 ? "All work has finished." : "The latest admitted deadline has passed.");
        m_context.stop();
    }
}

std::string ControlPlane::loadReport() const
{
    std::vector<LoadSummary> all;
    for (const auto &[worker, loads] : m_loads) {
        all.insert(all.end(), loads.begin(), loads.end());
    }
    return all.empty() ? std::string() : encodeLoadReport(all);
}

std::string ControlPlane::dataCentreLoadReport() const
{
    // The loads of a larger data centre would exceed the traffic budget of the links between data centres; the answers of its upstreams carry
    // them instead.
    std::vector<LoadSummary> all;
    for (const auto &[upstream, load] : m_knownLoads) {
        if (isOfDataCentre(upstream)) {
            all.push_back(load);
        }
    }
    return all.empty() || all.size() > maxDigestLoads ? std::string() : encodeLoadReport(all);
}

bool ControlPlane::isOfDataCentre(const UpstreamId &upstream) const
{
    if (!m_routing) {
        return false;
    }
    const auto &upstreams = m_routing->configuration().upstreams;
    const auto spec = upstreams.find(upstream);
    return spec != upstreams.end() && spec->second.dataCentre == m_host.settings.dataCentre;
}

bool ControlPlane::isOutOfService() const
{
    return m_routing && m_routing->configuration().outOfService.hosts.contains(m_host.settings.hostId);
}

}
