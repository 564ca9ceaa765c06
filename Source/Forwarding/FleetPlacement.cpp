#include "Forwarding/FleetPlacement.h"

#include "Base/ErrorAnswer.h"
#include "Base/ScopeGuard.h"
#include "Forwarding/PlacementLog.h"
#include "Forwarding/RelayTargets.h"
#include "Forwarding/WirePlacement.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Telemetry/EventLog.h"

#include <random>

namespace Mangofall::Forwarding {

namespace {

using Clock = std::chrono::steady_clock;

// A round trip between data centres takes a few milliseconds; the rest is for a host that has used up its processor quota.
constexpr std::chrono::milliseconds answerTimeout{150};
constexpr std::chrono::milliseconds resendInterval{400};
// Entry hosts report their grants to a new owner as soon as they know it. This leaves time to connect and for a host that has used up its processor quota.
constexpr std::chrono::milliseconds takeoverDelay{80};
// If another host owns a service and this host has handled no placement request for it for this long, this host counts as a new owner the next time.
constexpr std::chrono::milliseconds ownershipRetention{1000};
constexpr std::chrono::milliseconds tickInterval{20};
// The bits above these are random for each start of a host, so that numbers of two starts do not collide at an owner.
constexpr int counterBits = 32;

std::uint64_t firstNumber()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << counterBits;
}

}

FleetPlacement::FleetPlacement(boost::asio::io_context &io, HostId self, DataCentreId dataCentre, EventLog &log)
    : m_self(self)
    , m_dataCentre(std::move(dataCentre))
    , m_log(log)
    , m_owners(std::move(self))
    , m_crashes(log)
    , m_table(Placement::PlacementLimits(), m_crashes.record())
    , m_retryLender(std::random_device{}())
    , m_connections(io, m_self, m_dataCentre, *this)
    , m_nextNumber(firstNumber())
    , m_timer(io)
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
    std::map<HostId, FleetHost> next;
    for (const FleetHost &host : hosts) {
        next[host.id] = host;
    }
    for (const auto &[id, known] : m_hosts) {
        const auto position = next.find(id);
        if (position == next.end() || !(position->second == known)) {
            m_table.hostLost(id, now);
            if (const std::shared_ptr<PeerLink> removedLink = m_connections.removeLink(id)) {
                removedLink->close();
            }
        }
    }
    m_hosts = std::move(next);
    m_owners.setHosts(hosts);
    expireOwnerships(now);
    checkOwners(now);
}

void FleetPlacement::setServices(const std::vector<Placement::ServiceSpec> &services)
{
    m_table.setServices(services);
}

void FleetPlacement::setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams)
{
    const TimePoint now = Clock::now();
    m_crashes.record().expire(now);
    applyActions(m_table.setUpstreams(upstreams, now));
}

void FleetPlacement::setLentRetryShare(const RetryShare &share)
{
    m_retryLender.setShare(share);
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

std::size_t FleetPlacement::hosts() const
{
    return m_owners.hostCount();
}

std::size_t FleetPlacement::waiting() const
{
    return m_table.waiting();
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
    placement->second.prefilling = false;
    m_crashes.answerBegan(placement->second.placementRequest, Clock::now());
    publishCrashes();
    if (placement->second.owner == m_self) {
        m_table.firstEventReceived(id);
        return;
    }
    Wire::PlacementReportT report;
    report.number = id.number;
    sendReport(placement->second.owner, report);
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
    } else if (m_hosts.contains(owner)) {
        link(owner).send(toPeerMessage(toWire(assignment, notice)));
    }
}

void FleetPlacement::ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty)
{
    const auto placement = m_localPlacements.find(id.number);
    if (placement == m_localPlacements.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    const HostId owner = placement->second.owner;
    if (placement->second.assignment) {
        const LocalPlacement &local = placement->second;
        m_crashes.attemptEnded({local.placementRequest, *local.assignment, local.assignedAt}, outcome, now);
    }
    m_localPlacements.erase(placement);
    // The owner must know of a crash before it decides about the next attempt.
    publishCrashes();
    if (owner == m_self) {
        applyActions(m_table.ended(id, outcome, faulty, now));
        return;
    }
    Wire::PlacementReportT report;
    report.number = id.number;
    report.ended = true;
    report.outcome = static_cast<std::uint8_t>(outcome);
    report.faulty = faulty ? faulty->value() : std::string();
    sendReport(owner, report);
}

void FleetPlacement::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
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
        Wire::MembershipProbeAnswerT answer;
        answer.probe = probe->probe;
        connection->send(toPeerMessage(std::move(answer)));
    }
}

void FleetPlacement::onLinkMessage(const HostId &from, const Wire::PeerMessageT &message)
{
    if (const Wire::PlacementAnswerT *answer = message.body.AsPlacementAnswer()) {
        onAnswer(from, *answer);
    } else if (message.body.AsMembershipProbeAnswer() != nullptr) {
        m_owners.probeAnswered(from, Clock::now());
    }
}

void FleetPlacement::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    const TimePoint now = Clock::now();
    if (const std::optional<HostId> from = m_connections.removeAccepted(connection)) {
        if (!from->empty()) {
            m_table.hostLost(*from, now);
            std::erase_if(m_waitingPeerRequests, [&](const Placement::PlacementRequestId &id) {
                return id.host == *from;
            });
        }
        return;
    }
    const HostId lost = m_connections.linkedHost(connection);
    if (m_owners.isSkipped(lost)) {
        m_connections.removeLink(lost);
    } else if (!lost.empty()) {
        onOwnerSilent(lost, now);
    }
}

void FleetPlacement::requestAssignment(LocalPlacement &placement, TimePoint now)
{
    placement.owner = m_owners.owner(placement.placementRequest.service);
    placement.answerDeadline = now + answerTimeout;
    placement.resendAt = now + resendInterval;
    if (placement.owner == m_self) {
        placement.queued = true;
        recordOwnership(placement.placementRequest.service, now);
        applyActions(place(placement.placementRequest, now));
        return;
    }
    link(placement.owner).send(toPeerMessage(toWire(placement.placementRequest, now)));
}

void FleetPlacement::recordOwnership(const ServiceId &service, TimePoint now)
{
    const auto known = m_lastPlacedAt.find(service);
    if (known == m_lastPlacedAt.end() && m_hosts.size() > 1) {
        m_log.write("placing_for_service", {{"service", service.value()}});
        m_table.pauseGrantsUntil(service, now + takeoverDelay);
        m_table.assumeColdRatesUsed(service, now);
    }
    if (known == m_lastPlacedAt.end()) {
        m_retryLender.forget(service);
    }
    m_lastPlacedAt[service] = now;
}

void FleetPlacement::expireOwnerships(TimePoint now)
{
    std::erase_if(m_lastPlacedAt, [&](const auto &placed) {
        return now >= placed.second + ownershipRetention && m_owners.owner(placed.first) != m_self;
    });
}

Placement::PlacementActions FleetPlacement::place(const Placement::PlacementRequest &request, TimePoint now)
{
    if (request.firstAttempt) {
        m_retryLender.countRequest(request.service);
    }
    if (request.borrowsRetry && !m_retryLender.lend(request.service)) {
        return {Placement::Refusal{request.id, ErrorKind::NoUpstream, errorAnswer(ErrorKind::UpstreamRefused).retryAfter}};
    }
    return m_table.submit(request, now);
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
        m_waitingPeerRequests.erase(id);
        if (grant == nullptr) {
            writeRefusal(m_log, std::get<Placement::Refusal>(action));
        }
        if (const std::shared_ptr<PeerConnection> answerConnection = m_connections.answerConnection(id.host)) {
            answerConnection->send(toPeerMessage(grant != nullptr ? toWire(*grant) : toWire(std::get<Placement::Refusal>(action))));
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
    if (const std::optional<Wire::CrashUpdateT> snapshot = m_crashes.snapshot(Clock::now()); snapshot && owner != m_self && m_hosts.contains(owner)) {
        link(owner).send(toPeerMessage(*snapshot));
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
        connectRelayTargets();
        m_connections.sendToAll(toPeerMessage(*update.forAll));
    }
}

void FleetPlacement::connectRelayTargets()
{
    std::vector<HostId> hosts;
    hosts.reserve(m_hosts.size());
    for (const auto &[id, host] : m_hosts) {
        hosts.push_back(id);
    }
    for (const HostId &target : relayTargets(hosts, m_self)) {
        if (!m_owners.isSkipped(target) && !m_connections.answerConnection(target)) {
            link(target);
        }
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
    const Placement::PlacementRequest placementRequest = fromWire(call, from, now);
    recordOwnership(placementRequest.service, now);
    if (m_waitingPeerRequests.insert(placementRequest.id).second) {
        applyActions(place(placementRequest, now));
    }
    if (m_waitingPeerRequests.contains(placementRequest.id)) {
        m_log.write("placement_queued", {{"entry", from.value()}, {"demand", std::to_string(call.number)}, {"waiting", std::to_string(m_table.waiting())}});
        connection->send(toPeerMessage(queuedAnswer(placementRequest.id)));
        scheduleTick();
    }
}

void FleetPlacement::onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer)
{
    m_owners.markResponsive(from);
    const auto placement = m_localPlacements.find(answer.number);
    if (placement == m_localPlacements.end() || placement->second.owner != from || placement->second.assignment) {
        if (answer.result == Wire::PlacementResult::Granted) {
            Wire::PlacementReportT report;
            report.number = answer.number;
            report.ended = true;
            report.outcome = static_cast<std::uint8_t>(Placement::GrantOutcome::Cancelled);
            sendReport(from, report);
        }
        return;
    }
    if (answer.result == Wire::PlacementResult::Queued) {
        placement->second.queued = true;
        return;
    }
    if (answer.result == Wire::PlacementResult::Granted) {
        deliver(answer.number, assignmentFromWire(answer));
    } else {
        deliver(answer.number, refusalFromWire(answer, placement->second.placementRequest.id));
    }
}

void FleetPlacement::onReport(const HostId &from, const Wire::PlacementReportT &report)
{
    const Placement::PlacementRequestId id{from, report.number};
    if (!report.ended) {
        m_table.firstEventReceived(id);
        return;
    }
    m_waitingPeerRequests.erase(id);
    const std::optional<UpstreamId> faulty = report.faulty.empty() ? std::nullopt : std::optional<UpstreamId>(UpstreamId(report.faulty));
    applyActions(m_table.ended(id, outcomeFromWire(report.outcome), faulty, Clock::now()));
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

void FleetPlacement::sendReport(const HostId &owner, const Wire::PlacementReportT &report)
{
    if (m_hosts.contains(owner)) {
        link(owner).send(toPeerMessage(report));
    }
}

void FleetPlacement::scheduleTick()
{
    const bool idle = m_localPlacements.empty() && m_table.waiting() == 0 && m_table.granted() == 0 && !m_owners.skipsAny();
    if (m_tickScheduled || idle) {
        return;
    }
    m_tickScheduled = true;
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_tickScheduled = false;
        if (!error) {
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
    applyActions(m_table.tick(now));
    expireOwnerships(now);
    checkOwners(now);
    sendProbes(now);
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
        const HostId owner = m_owners.owner(placement.placementRequest.service);
        const bool ownerOutdated = placement.owner.empty() || (placement.owner != owner && placement.owner != m_self);
        const bool resendDue = placement.owner != m_self && placement.queued && now >= placement.resendAt;
        if (!placement.assignment && (ownerOutdated || resendDue)) {
            placement.queued = false;
            requestAssignment(placement, now);
        } else if (placement.assignment && placement.owner != owner) {
            const Placement::ReportedGrant grant{
                placement.placementRequest, placement.assignment->upstream, placement.assignment->helpers, placement.prefilling};
            placement.owner = owner;
            if (owner == m_self) {
                m_table.adopt(grant, now);
            } else {
                link(owner).send(toPeerMessage(toWire(grant, now)));
            }
        }
    }
}

PeerLink &FleetPlacement::link(const HostId &host)
{
    const bool isNew = !m_connections.hasLink(host);
    PeerLink &link = m_connections.link(host, m_hosts.at(host).address);
    if (isNew) {
        if (std::optional<Wire::CrashUpdateT> snapshot = m_crashes.snapshot(Clock::now())) {
            link.send(toPeerMessage(std::move(*snapshot)));
        }
    }
    return link;
}

void FleetPlacement::onOwnerSilent(const HostId &host, TimePoint now)
{
    m_log.write("owner_silent", {{"peer", host.value()}});
    m_owners.markUnresponsive(host, now);
    if (const std::shared_ptr<PeerLink> removedLink = m_connections.removeLink(host)) {
        removedLink->closeSilently();
    }
    for (auto &[number, placement] : m_localPlacements) {
        if (placement.owner == host) {
            placement.owner = HostId();
        }
    }
}

void FleetPlacement::sendProbes(TimePoint now)
{
    for (const HostId &host : m_owners.takeDueProbes(now)) {
        if (m_hosts.contains(host)) {
            link(host).send(toPeerMessage(Wire::MembershipProbeT()));
        }
    }
}

}
