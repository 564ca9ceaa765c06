#include "Forwarding/FleetPlacement.h"

#include "Base/ErrorAnswer.h"
#include "Base/ScopeGuard.h"
#include "Forwarding/PlacementLog.h"
#include "Forwarding/WirePlacement.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Telemetry/EventLog.h"

#include <random>
#include <set>
#include <utility>

namespace Mangofall::Forwarding {

namespace {

using Clock = std::chrono::steady_clock;

// A round trip between data centres takes a few milliseconds; the rest is for a host that has used up its processor quota.
constexpr std::chrono::milliseconds answerTimeout{150};
constexpr std::chrono::milliseconds resendInterval{400};
constexpr std::chrono::milliseconds tickInterval{20};
// Peers that get no answer for answerTimeout choose another owner; the difference is for the way to this host and back.
constexpr std::chrono::milliseconds pauseTolerance{120};
// After a longer pause the upstream list is older than hosts usually know it, and is about to be renewed.
constexpr std::chrono::milliseconds longPause{500};
constexpr std::chrono::milliseconds renewalTime{150};
// The bits above these are random for each start of a host, so that numbers of two starts do not collide at an owner.
constexpr int counterBits = 32;

std::uint64_t firstNumber()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << counterBits;
}

}

FleetPlacement::FleetPlacement(boost::asio::io_context &io, HostId self, DataCentreId dataCentre, EventLog &log, const MembershipOptions &options)
    : m_self(self)
    , m_dataCentre(std::move(dataCentre))
    , m_log(log)
    , m_crashes(log)
    , m_table(Placement::PlacementLimits(), m_crashes.record())
    , m_owned(m_table, log, options)
    , m_shares(m_self)
    , m_connections(io, m_self, m_dataCentre, *this)
    , m_peers(std::move(self),
              options.keepUnlisted,
              m_connections,
              log,
              [this]() {
                  return m_crashes.snapshot(Clock::now());
              })
    , m_nextNumber(firstNumber())
    , m_timer(io)
    , m_pauses(pauseTolerance, options.bootClock)
    , m_pauseHandler(options.paused)
{
}

FleetPlacement::~FleetPlacement() = default;

std::error_code FleetPlacement::listen(const NetworkAddress &address)
{
    return m_connections.listen(address);
}

void FleetPlacement::setHosts(const std::vector<FleetHost> &hosts)
{
    const TimePoint now = Clock::now();
    hostsLost(m_peers.setListed(hosts, now), now);
    expireOwnerships(now);
    updateColdShares(now);
    checkOwners(now);
}

void FleetPlacement::hostsLost(const std::vector<HostId> &hosts, TimePoint now)
{
    for (const HostId &host : hosts) {
        forgetRequestsOf(host, now);
        forgetOwner(host);
    }
}

void FleetPlacement::forgetRequestsOf(const HostId &host, TimePoint now)
{
    m_table.hostLost(host, now);
    m_owned.hostLost(host);
    std::erase_if(m_waitingPeerRequests, [&](const auto &request) {
        return request.first.host == host;
    });
}

void FleetPlacement::startLeaving()
{
    m_owned.startLeaving();
    passOverSelf(Clock::now());
}

void FleetPlacement::setOptions(const Placement::PlacementOptions &options)
{
    m_table.setOptions(options);
}

void FleetPlacement::setServices(const std::vector<Placement::ServiceSpec> &services)
{
    m_table.setServices(services);
    m_owned.setServices(services);
}

void FleetPlacement::setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams)
{
    const TimePoint now = Clock::now();
    checkForPause(now);
    m_crashes.record().expire(now);
    applyActions(m_table.setUpstreams(upstreams, now));
    updateColdShares(now);
    scheduleTick();
}

void FleetPlacement::setLentRetryShare(const RetryShare &share)
{
    m_owned.setLentRetryShare(share);
}

void FleetPlacement::closePeerLinks()
{
    m_connections.closeLinks();
}

void FleetPlacement::setSuspectObserver(SuspectObserver &observer)
{
    m_crashes.setObserver(&observer);
}

Placement::SuspectState FleetPlacement::addSuspect(const Placement::SuspectState &state)
{
    Placement::SuspectState known = m_crashes.record().merge(state, Clock::now());
    publishCrashes();
    return known;
}

std::size_t FleetPlacement::heldSuspects() const
{
    return m_crashes.record().heldCount();
}

const FleetPeers &FleetPlacement::peers() const
{
    return m_peers;
}

std::size_t FleetPlacement::waiting() const
{
    return m_table.waiting();
}

Placement::LoadFindings FleetPlacement::loadFindings() const
{
    return m_table.findings(Clock::now());
}

std::vector<Placement::LeavingReport> FleetPlacement::leavingReports() const
{
    return m_table.leavingReports(Clock::now());
}

Placement::PlacementRequestId FleetPlacement::nextId()
{
    return {m_self, ++m_nextNumber};
}

void FleetPlacement::submit(const Placement::PlacementRequest &placementRequest, Handler handler)
{
    if (std::optional<Placement::Refusal> held = m_crashes.refusal(placementRequest, nullptr, Clock::now())) {
        handler(std::move(*held));
        return;
    }
    checkForPause(Clock::now());
    LocalPlacement &placement = m_localPlacements[placementRequest.id.number];
    placement.placementRequest = placementRequest;
    placement.placementRequest.dataCentre = m_dataCentre;
    placement.handler = std::move(handler);
    requestAssignment(placement, Clock::now());
    scheduleTick();
}

void FleetPlacement::firstEventReceived(const Placement::PlacementRequestId &id)
{
    const auto placement = m_localPlacements.find(id.number);
    if (placement == m_localPlacements.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    placement->second.prefilling = false;
    m_crashes.answerBegan(placement->second.placementRequest, now);
    publishCrashes();
    if (placement->second.owner == m_self) {
        placement->second.load.passTo(m_table, id, now);
        m_table.firstEventReceived(id, now);
        return;
    }
    Wire::PlacementReportT report = beginReport(id);
    placement->second.load.addTo(report, now);
    m_peers.sendToMember(placement->second.owner, toPeerMessage(std::move(report)));
}

void FleetPlacement::noticeReceived(const Placement::PlacementRequestId &id, const Placement::UpstreamNotice &notice)
{
    const auto placement = m_localPlacements.find(id.number);
    if (placement == m_localPlacements.end() || !placement->second.assignment) {
        return;
    }
    const Placement::Assignment &assignment = *placement->second.assignment;
    const HostId &owner = placement->second.owner;
    if (owner == m_self) {
        m_table.noticeReceived(m_self, assignment.upstream, assignment.upstreamStart, notice, Clock::now());
    } else {
        m_peers.sendToMember(owner, toPeerMessage(toWire(assignment, notice)));
    }
}

void FleetPlacement::loadReported(const Placement::PlacementRequestId &id, const Placement::ReportedLoad &load)
{
    const auto placement = m_localPlacements.find(id.number);
    if (placement != m_localPlacements.end()) {
        placement->second.load.received(load, Clock::now());
    }
}

void FleetPlacement::ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty)
{
    const auto placement = m_localPlacements.find(id.number);
    if (placement == m_localPlacements.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    checkForPause(now);
    const HostId owner = placement->second.owner;
    if (placement->second.assignment) {
        const LocalPlacement &local = placement->second;
        m_crashes.attemptEnded({local.placementRequest, *local.assignment, local.assignedAt}, outcome, now);
    }
    PendingLoad load = placement->second.load;
    m_localPlacements.erase(placement);
    m_owned.withdrawn(id);
    // The owner must know of a crash before it decides about the next attempt.
    publishCrashes();
    if (owner == m_self) {
        load.passTo(m_table, id, now);
        applyActions(m_table.ended(id, outcome, faulty, now));
        return;
    }
    Wire::PlacementReportT report = endReport(id, outcome, faulty);
    load.addTo(report, now);
    m_peers.sendToMember(owner, toPeerMessage(std::move(report)));
}

void FleetPlacement::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
    checkForPause(Clock::now());
    if (const Wire::HelloT *hello = message.body.AsHello()) {
        m_connections.helloReceived(connection, HostId(hello->host));
        if (std::optional<Wire::CrashUpdateT> snapshot = m_crashes.snapshot(Clock::now())) {
            connection->send(toPeerMessage(std::move(*snapshot)));
        }
        return;
    }
    if (const Wire::CrashUpdateT *update = message.body.AsCrashUpdate()) {
        onCrashUpdate(connection, *update);
        return;
    }
    if (const HostId linked = m_connections.linkedHost(connection); !linked.empty()) {
        onLinkMessage(linked, message);
        return;
    }
    const HostId from = m_connections.acceptedHost(connection);
    if (from.empty()) {
        m_log.write("peer_message_without_hello", {});
        return;
    }
    if (const Wire::PlacementCallT *call = message.body.AsPlacementCall()) {
        onCall(connection, from, *call);
    } else if (const Wire::PlacementReportT *report = message.body.AsPlacementReport()) {
        onReport(from, *report);
    } else if (const Wire::PlacementAdoptionT *adoption = message.body.AsPlacementAdoption()) {
        onAdoption(from, *adoption);
    } else if (const Wire::UpstreamNoticeT *notice = message.body.AsUpstreamNotice()) {
        onUpstreamNotice(from, *notice);
    } else if (const Wire::MembershipProbeT *probe = message.body.AsMembershipProbe()) {
        onProbe(connection, *probe);
    } else if (const Wire::ColdShareCallT *shareCall = message.body.AsColdShareCall()) {
        onColdShareCall(connection, from, *shareCall);
    }
}

void FleetPlacement::onProbe(const std::shared_ptr<PeerConnection> &connection, const Wire::MembershipProbeT &probe)
{
    // The answer counts for the other host only if it comes in time; until then the other owner grants beside this one.
    m_table.assumeAllColdRatesUsed(Clock::now() + answerTimeout);
    Wire::MembershipProbeAnswerT answer;
    answer.probe = probe.probe;
    connection->send(toPeerMessage(std::move(answer)));
}

void FleetPlacement::onLinkMessage(const HostId &from, const Wire::PeerMessageT &message)
{
    if (const Wire::PlacementAnswerT *answer = message.body.AsPlacementAnswer()) {
        onAnswer(from, *answer);
    } else if (message.body.AsMembershipProbeAnswer() != nullptr) {
        m_peers.probeAnswered(from, Clock::now());
    } else if (const Wire::ColdShareAnswerT *shares = message.body.AsColdShareAnswer()) {
        onColdShareAnswer(from, *shares);
    }
}

void FleetPlacement::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    const TimePoint now = Clock::now();
    if (const std::optional<HostId> from = m_connections.removeAccepted(connection)) {
        if (!from->empty()) {
            forgetRequestsOf(*from, now);
        }
        return;
    }
    const HostId lost = m_connections.linkedHost(connection);
    if (m_peers.owners().isSkipped(lost)) {
        m_connections.removeLink(lost);
    } else if (!lost.empty()) {
        onOwnerSilent(lost, now);
    }
}

void FleetPlacement::requestAssignment(LocalPlacement &placement, TimePoint now)
{
    const ServiceId &service = placement.placementRequest.service;
    placement.owner = m_peers.owners().owner(service);
    placement.answerDeadline = now + answerTimeout;
    placement.resendAt = now + resendInterval;
    const auto decision = placement.owner == m_self ? m_owned.decide(placement.placementRequest, std::nullopt, now) : OwnershipDecision::Place;
    if (decision == OwnershipDecision::Decline) {
        passOverSelf(now);
        placement.owner = m_peers.owners().owner(service);
    }
    if (placement.owner != m_self) {
        Wire::PlacementCallT call = toWire(placement.placementRequest, now);
        m_owned.describeView(call);
        setSendTime(call, bootTime());
        m_peers.link(placement.owner).send(toPeerMessage(std::move(call)));
        return;
    }
    placement.queued = true;
    if (decision != OwnershipDecision::Defer) {
        place(placement.placementRequest, now);
    }
}

void FleetPlacement::passOverSelf(TimePoint now)
{
    if (const Duration time = m_owned.declineTime(); time > Duration::zero()) {
        m_peers.declined(m_self, now + time, "ownership_declined");
    }
}

void FleetPlacement::serveDeferred(TimePoint now)
{
    for (const auto &[request, decision] : m_owned.takeDecided(now)) {
        if (decision == OwnershipDecision::Place) {
            place(request, now);
        } else if (request.id.host == m_self) {
            if (const auto placement = m_localPlacements.find(request.id.number); placement != m_localPlacements.end()) {
                placement->second.owner = HostId();
            }
        } else if (const std::shared_ptr<PeerConnection> connection = m_connections.answerConnection(request.id.host)) {
            decline(*connection, request.id, now);
        }
    }
}

void FleetPlacement::decline(PeerConnection &connection, const Placement::PlacementRequestId &id, TimePoint now)
{
    passOverSelf(now);
    connection.send(toPeerMessage(declinedAnswer(id, m_owned.declineTime())));
    if (m_waitingPeerRequests.erase(id) > 0) {
        applyActions(m_table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, now));
    }
}

void FleetPlacement::onDeclined(const HostId &from, Duration time, TimePoint now)
{
    m_peers.declined(from, now + time, "owner_declined");
    forgetOwner(from);
    checkOwners(now);
}

void FleetPlacement::expireOwnerships(TimePoint now)
{
    m_owned.expire(now, [this](const ServiceId &service) {
        return m_peers.owners().owner(service) == m_self;
    });
}

void FleetPlacement::place(const Placement::PlacementRequest &request, TimePoint now)
{
    recordOwnership(request.service, now);
    applyActions(m_owned.place(request, now));
}

void FleetPlacement::recordOwnership(const ServiceId &service, TimePoint now)
{
    const bool isNew = !m_owned.owns(service);
    m_owned.record(service, m_peers.alone(), now);
    if (isNew) {
        updateColdShares(now);
    }
}

void FleetPlacement::applyActions(const Placement::PlacementActions &actions)
{
    publishCrashes();
    writeReservationEvents(m_log, m_table.takeReservationEvents());
    for (const Placement::PlacementAction &action : actions) {
        const Placement::PlacementRequestId id = std::visit(
            [](const auto &concrete) {
                return concrete.id;
            },
            action);
        const auto *grant = std::get_if<Placement::Grant>(&action);
        if (id.host == m_self) {
            deliver(id.number, grant != nullptr ? Answer(grant->assignment) : Answer(std::get<Placement::Refusal>(action)));
            continue;
        }
        const auto waiting = m_waitingPeerRequests.extract(id);
        if (grant == nullptr) {
            writeRefusal(m_log, std::get<Placement::Refusal>(action));
        }
        if (const std::shared_ptr<PeerConnection> answerConnection = m_connections.answerConnection(id.host)) {
            answerConnection->send(toPeerMessage(grant != nullptr ? grantAnswer(*grant, waiting ? waiting.mapped() : CallRecord())
                                                                  : toWire(std::get<Placement::Refusal>(action))));
        } else if (grant != nullptr) {
            applyActions(m_table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, Clock::now()));
        }
    }
}

void FleetPlacement::deliver(std::uint64_t number, Answer answer)
{
    const auto placement = m_localPlacements.find(number);
    if (placement == m_localPlacements.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    const auto *assignment = std::get_if<Placement::Assignment>(&answer);
    if (assignment != nullptr) {
        if (const std::optional<Placement::Refusal> held = m_crashes.refusal(placement->second.placementRequest, assignment, now)) {
            refuseAssignment(number, *held);
            return;
        }
    }
    Handler handler = std::move(placement->second.handler);
    if (assignment != nullptr) {
        placement->second.assignment = *assignment;
        placement->second.assignedAt = now;
    } else {
        m_localPlacements.erase(placement);
    }
    handler(std::move(answer));
}

void FleetPlacement::refuseAssignment(std::uint64_t number, const Placement::Refusal &refusal)
{
    const auto placement = m_localPlacements.find(number);
    Handler handler = std::move(placement->second.handler);
    const HostId owner = placement->second.owner;
    m_log.write("crash_record_missing_at_owner", {{"peer", owner.value()}, {"demand", std::to_string(number)}});
    if (const std::optional<Wire::CrashUpdateT> snapshot = m_crashes.snapshot(Clock::now()); snapshot && owner != m_self) {
        m_peers.sendToMember(owner, toPeerMessage(*snapshot));
    }
    ended(refusal.id, Placement::GrantOutcome::Cancelled, std::nullopt);
    handler(refusal);
}

void FleetPlacement::publishCrashes()
{
    const CrashReplica::Update update = m_crashes.takeUpdate();
    if (update.forOwners) {
        m_connections.sendToLinked(toPeerMessage(*update.forOwners));
    }
    if (update.forAll) {
        m_peers.connectRelays();
        m_connections.sendToAll(toPeerMessage(*update.forAll));
    }
}

void FleetPlacement::onCrashUpdate(const std::shared_ptr<PeerConnection> &connection, const Wire::CrashUpdateT &update)
{
    if (std::optional<Wire::CrashUpdateT> reply = m_crashes.apply(update, Clock::now())) {
        connection->send(toPeerMessage(std::move(*reply)));
    }
    publishCrashes();
}

void FleetPlacement::onCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::PlacementCallT &call)
{
    const TimePoint now = Clock::now();
    Placement::PlacementRequest placementRequest = fromWire(call, from, now);
    placementRequest.useDelay = call.sent_us != 0 ? Placement::grantUseTime : Duration::zero();
    if (crossedGrant(connection, placementRequest.id)) {
        return;
    }
    const std::optional<StoreViewStatus> view = viewFromWire(call);
    const OwnershipDecision decision = view ? m_owned.decide(placementRequest, view, now) : OwnershipDecision::Place;
    if (decision == OwnershipDecision::Decline) {
        decline(*connection, placementRequest.id, now);
        return;
    }
    if (decision == OwnershipDecision::Place) {
        recordOwnership(placementRequest.service, now);
    }
    if (m_waitingPeerRequests.insert_or_assign(placementRequest.id, CallRecord{call.sent_us, bootTime()}).second && decision == OwnershipDecision::Place) {
        place(placementRequest, now);
    }
    if (m_waitingPeerRequests.contains(placementRequest.id)) {
        m_log.write("placement_queued", {{"entry", from.value()}, {"demand", std::to_string(call.number)}, {"waiting", std::to_string(m_table.waiting())}});
        connection->send(toPeerMessage(queuedAnswer(placementRequest.id)));
        scheduleTick();
    }
}

bool FleetPlacement::crossedGrant(const std::shared_ptr<PeerConnection> &connection, const Placement::PlacementRequestId &id) const
{
    const std::optional<TimePoint> grantedAt = m_table.grantedAt(id);
    const std::optional<TimePoint> answersSince = m_connections.answersSince(id.host, connection);
    return grantedAt && answersSince && *answersSince <= *grantedAt;
}

void FleetPlacement::onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer)
{
    m_peers.answered(from);
    if (answer.result == Wire::PlacementResult::Declined) {
        onDeclined(from, std::chrono::milliseconds(answer.retry_after_ms), Clock::now());
        return;
    }
    const auto placement = m_localPlacements.find(answer.number);
    if (placement == m_localPlacements.end() || placement->second.owner != from || placement->second.assignment) {
        if (answer.result == Wire::PlacementResult::Granted) {
            m_peers.sendToMember(from, toPeerMessage(endReport({m_self, answer.number}, Placement::GrantOutcome::Cancelled, std::nullopt)));
        }
        return;
    }
    if (answer.result == Wire::PlacementResult::Queued) {
        placement->second.queued = true;
        return;
    }
    if (answer.result == Wire::PlacementResult::Granted) {
        if (handBackOldGrant(placement->second, from, answer)) {
            return;
        }
        if (answer.cold) {
            m_peers.sendToMember(from, toPeerMessage(receivedReport({m_self, answer.number})));
        }
        deliver(answer.number, assignmentFromWire(answer));
    } else {
        deliver(answer.number, refusalFromWire(answer, placement->second.placementRequest.id));
    }
}

void FleetPlacement::onReport(const HostId &from, const Wire::PlacementReportT &report)
{
    const TimePoint now = Clock::now();
    const Placement::PlacementRequestId id{from, report.number};
    if (report.received) {
        m_table.useBegan(id, now);
        return;
    }
    passLoad(report, m_table, id, now);
    if (!report.ended) {
        m_table.firstEventReceived(id, now);
        return;
    }
    m_waitingPeerRequests.erase(id);
    m_owned.withdrawn(id);
    const std::optional<UpstreamId> faulty = report.faulty.empty() ? std::nullopt : std::optional<UpstreamId>(UpstreamId(report.faulty));
    applyActions(m_table.ended(id, outcomeFromWire(report.outcome), faulty, now));
    publishCrashes();
}

void FleetPlacement::onUpstreamNotice(const HostId &from, const Wire::UpstreamNoticeT &notice)
{
    m_table.noticeReceived(from, UpstreamId(notice.upstream), notice.start, fromWire(notice), Clock::now());
}

void FleetPlacement::onAdoption(const HostId &from, const Wire::PlacementAdoptionT &adoption)
{
    const TimePoint now = Clock::now();
    m_table.adopt(fromWire(adoption, from, now), now);
}

void FleetPlacement::checkForPause(TimePoint now)
{
    const Duration pause = m_pauses.check();
    if (pause == Duration::zero() || m_peers.alone()) {
        return;
    }
    m_log.write("placement_paused", {{"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(pause).count())}});
    m_table.assumeAllColdRatesUsed(now);
    m_shares.forgetLoans();
    updateColdShares(now);
    if (pause >= longPause) {
        m_table.pauseAllGrantsUntil(now + renewalTime);
        if (m_pauseHandler) {
            m_pauseHandler();
        }
    }
    // The answers of this time may be waiting to be read.
    for (auto &[number, placement] : m_localPlacements) {
        placement.answerDeadline = std::max(placement.answerDeadline, now + answerTimeout);
    }
}

// The ticks go on while an upstream is cold, so that a pause shows before the next grant.
void FleetPlacement::scheduleTick()
{
    const bool idle = m_localPlacements.empty() && m_table.waiting() == 0 && m_table.granted() == 0 && Clock::now() >= m_table.coldUntil();
    if (m_tickScheduled) {
        return;
    }
    if (idle && !m_peers.owners().skipsAny() && !m_owned.defersAny()) {
        m_pauses.expectNoCheck();
        return;
    }
    m_tickScheduled = true;
    m_pauses.expectCheckWithin(tickInterval);
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_tickScheduled = false;
            const ScopeGuard scheduled([this]() {
                scheduleTick();
            });
            tick();
        }
    });
}

void FleetPlacement::tick()
{
    const TimePoint now = Clock::now();
    checkForPause(now);
    updateColdShares(now);
    applyActions(m_table.tick(now));
    hostsLost(m_peers.expire(now), now);
    serveDeferred(now);
    m_loadFindingsLog.update(m_table.findings(now), m_log);
    m_leavingLog.update(m_table.leavingReports(now), m_log);
    expireOwnerships(now);
    passOverSilentMembers(now);
    checkOwners(now);
    m_peers.sendProbes(now);
}

// Sends placement requests without an answer to the next owner, and reports grants whose use has not ended to owners that do not know them.
void FleetPlacement::checkOwners(TimePoint now)
{
    std::set<HostId> silent;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, placement] : m_localPlacements) {
        numbers.push_back(number);
        const bool unanswered = !placement.assignment && placement.owner != m_self && !placement.queued && now >= placement.answerDeadline;
        if (unanswered && !placement.owner.empty()) {
            silent.insert(placement.owner);
        }
    }
    for (const HostId &host : silent) {
        onOwnerSilent(host, now);
    }
    // A new request may deliver answers and so remove entries; each entry is therefore looked up again.
    for (const std::uint64_t number : numbers) {
        const auto position = m_localPlacements.find(number);
        if (position == m_localPlacements.end()) {
            continue;
        }
        LocalPlacement &placement = position->second;
        const HostId owner = m_peers.owners().owner(placement.placementRequest.service);
        if (!placement.assignment && placement.owner == m_self && owner != m_self) {
            handOver(placement, now);
            continue;
        }
        const bool ownerOutdated = placement.owner.empty() || placement.owner != owner;
        const bool resendDue = placement.owner != m_self && placement.queued && now >= placement.resendAt;
        if (!placement.assignment && (ownerOutdated || resendDue)) {
            placement.queued = false;
            requestAssignment(placement, now);
        } else if (placement.assignment && placement.owner != owner) {
            reportGrant(placement, owner, now);
        }
    }
}

// A host that goes on to place its own requests beside the owner grants cold upstreams their whole rate once more.
void FleetPlacement::handOver(LocalPlacement &placement, TimePoint now)
{
    const Placement::PlacementRequestId id = placement.placementRequest.id;
    m_owned.withdrawn(id);
    placement.owner = HostId();
    placement.queued = false;
    applyActions(m_table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, now));
    // The actions may have delivered answers to other requests, but none to this one, which no longer waits here.
    requestAssignment(placement, now);
}

// The former owner may get the service back before the grant ends, and would then count it although it never learns of its end.
void FleetPlacement::reportGrant(LocalPlacement &placement, const HostId &owner, TimePoint now)
{
    const Placement::PlacementRequestId id = placement.placementRequest.id;
    const Placement::ReportedGrant grant{placement.placementRequest, placement.assignment->upstream, placement.assignment->helpers, placement.prefilling};
    const HostId former = std::exchange(placement.owner, owner);
    if (owner == m_self) {
        m_table.adopt(grant, now);
    } else {
        m_peers.link(owner).send(toPeerMessage(toWire(grant, now)));
    }
    if (former == m_self) {
        applyActions(m_table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, now));
    } else if (!former.empty()) {
        m_peers.sendToMember(former, toPeerMessage(endReport(id, Placement::GrantOutcome::Cancelled, std::nullopt)));
    }
}

void FleetPlacement::onOwnerSilent(const HostId &host, TimePoint now)
{
    forgetOwner(host);
    hostsLost(m_peers.silent(host, now), now);
}

void FleetPlacement::forgetOwner(const HostId &host)
{
    for (auto &[number, placement] : m_localPlacements) {
        if (placement.owner == host) {
            placement.owner = HostId();
        }
    }
}

}
