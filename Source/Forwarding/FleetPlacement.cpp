#include "Forwarding/FleetPlacement.h"

#include "Base/ErrorAnswer.h"
#include "Forwarding/WirePlacement.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Peer/TcpListener.h"
#include "Telemetry/EventLog.h"

#include <random>

namespace Mangofall::Forwarding {

namespace {

using Clock = std::chrono::steady_clock;

// A round trip between data centres takes a few milliseconds; the rest covers a host that has used up its processor quota.
constexpr std::chrono::milliseconds answerTime{150};
constexpr std::chrono::milliseconds askAgainInterval{400};
// Entry hosts report their grants to a new owner as soon as they know it; the rest covers a connection and a host that waits for its quota.
constexpr std::chrono::milliseconds takeOverTime{80};
// A host that has not placed for a service for this long has lost it to another owner.
constexpr std::chrono::milliseconds ownershipMemory{1000};
constexpr std::chrono::milliseconds tickInterval{20};
// Numbers of different starts of a host must not meet at an owner.
constexpr int startBits = 32;

std::uint64_t firstNumber()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << startBits;
}

template<class Body>
Wire::PeerMessageT toPeerMessage(Body body)
{
    Wire::PeerMessageT message;
    message.body.Set(std::move(body));
    return message;
}

}

FleetPlacement::FleetPlacement(boost::asio::io_context &io, HostId self, DataCentreId dataCentre, EventLog &log)
    : m_io(io)
    , m_self(self)
    , m_dataCentre(std::move(dataCentre))
    , m_log(log)
    , m_owners(std::move(self))
    , m_table(Placement::PlacementLimits())
    , m_nextNumber(firstNumber())
    , m_timer(io)
{
    auto hello = std::make_shared<Wire::HelloT>();
    hello->host = m_self.value();
    hello->data_centre = m_dataCentre.value();
    m_hello = std::move(hello);
}

FleetPlacement::~FleetPlacement()
{
    for (const auto &[host, link] : m_links) {
        link->closeSilently();
    }
    for (const auto &[connection, host] : m_accepted) {
        connection->closeSilently();
    }
}

std::error_code FleetPlacement::listen(const NetworkAddress &address)
{
    m_listener = std::make_unique<TcpListener>(m_io, [this](boost::asio::ip::tcp::socket socket) {
        auto connection = std::make_shared<PeerConnection>(std::move(socket), [](std::size_t) {});
        m_accepted[connection] = HostId();
        connection->start(*this);
    });
    return m_listener->listen(address.address, address.port, false);
}

void FleetPlacement::setHosts(const std::vector<FleetHost> &hosts)
{
    const TimePoint now = Clock::now();
    std::map<HostId, FleetHost> next;
    std::vector<HostId> ids;
    for (const FleetHost &host : hosts) {
        next[host.id] = host;
        ids.push_back(host.id);
    }
    for (const auto &[id, known] : m_hosts) {
        const auto position = next.find(id);
        if (position == next.end() || !(position->second == known)) {
            m_table.hostLost(id, now);
            if (const std::shared_ptr<PeerLink> former = takeLink(id)) {
                former->close();
            }
        }
    }
    m_hosts = std::move(next);
    m_owners.setHosts(std::move(ids));
    forgetFormerServices(now);
    checkOwners(now);
}

void FleetPlacement::setServices(const std::vector<Placement::ServiceSpec> &services)
{
    m_table.setServices(services);
}

void FleetPlacement::setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams)
{
    carryOut(m_table.setUpstreams(upstreams, Clock::now()));
}

void FleetPlacement::closePeerLinks()
{
    auto links = std::move(m_links);
    m_links.clear();
    for (const auto &[host, link] : links) {
        link->close();
    }
}

std::size_t FleetPlacement::hosts() const
{
    return m_owners.hosts().size();
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
    Open &open = m_open[placementRequest.id.number];
    open.placementRequest = placementRequest;
    open.placementRequest.dataCentre = m_dataCentre;
    open.handler = std::move(handler);
    ask(open, Clock::now());
    scheduleTick();
}

void FleetPlacement::firstEventReceived(const Placement::PlacementRequestId &id)
{
    const auto open = m_open.find(id.number);
    if (open == m_open.end()) {
        return;
    }
    open->second.reading = false;
    if (open->second.owner == m_self) {
        m_table.firstEventReceived(id);
        return;
    }
    Wire::PlacementReportT report;
    report.number = id.number;
    sendReport(open->second.owner, report);
}

void FleetPlacement::ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty)
{
    const auto open = m_open.find(id.number);
    if (open == m_open.end()) {
        return;
    }
    const HostId owner = open->second.owner;
    m_open.erase(open);
    if (owner == m_self) {
        carryOut(m_table.ended(id, outcome, faulty, Clock::now()));
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
        m_accepted[connection] = HostId(hello->host);
        m_callers[HostId(hello->host)] = connection;
        return;
    }
    if (const Wire::PlacementAnswerT *answer = message.body.AsPlacementAnswer()) {
        for (const auto &[host, link] : m_links) {
            if (link->connection() == connection) {
                const HostId from = host;
                onAnswer(from, *answer);
                return;
            }
        }
        return;
    }
    const auto accepted = m_accepted.find(connection);
    if (accepted == m_accepted.end() || accepted->second.empty()) {
        m_log.write("peer_message_without_hello", {});
        return;
    }
    const HostId from = accepted->second;
    if (const Wire::PlacementCallT *call = message.body.AsPlacementCall()) {
        onCall(connection, from, *call);
    } else if (const Wire::PlacementReportT *report = message.body.AsPlacementReport()) {
        onReport(from, *report);
    } else if (const Wire::PlacementAdoptionT *adoption = message.body.AsPlacementAdoption()) {
        onAdoption(from, *adoption);
    }
}

void FleetPlacement::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    const TimePoint now = Clock::now();
    if (const auto accepted = m_accepted.find(connection); accepted != m_accepted.end()) {
        const HostId from = accepted->second;
        m_accepted.erase(accepted);
        if (const auto caller = m_callers.find(from); caller != m_callers.end() && caller->second == connection) {
            m_callers.erase(caller);
            m_table.hostLost(from, now);
            std::erase_if(m_asked, [&](const Placement::PlacementRequestId &id) {
                return id.host == from;
            });
        }
        return;
    }
    for (const auto &[host, link] : m_links) {
        if (link->connection() == connection) {
            const HostId lost = host;
            ownerSilent(lost, now);
            return;
        }
    }
}

void FleetPlacement::ask(Open &open, TimePoint now)
{
    open.owner = m_owners.owner(open.placementRequest.service, now);
    open.answerDue = now + answerTime;
    open.askAgainAt = now + askAgainInterval;
    if (open.owner == m_self) {
        open.queued = true;
        placeFor(open.placementRequest.service, now);
        carryOut(m_table.submit(open.placementRequest, now));
        return;
    }
    link(open.owner)->send(toPeerMessage(toWire(open.placementRequest, now)));
}

void FleetPlacement::placeFor(const ServiceId &service, TimePoint now)
{
    const auto known = m_placedAt.find(service);
    if (known == m_placedAt.end() && m_hosts.size() > 1) {
        m_log.write("placing_for_service", {{"service", service.value()}});
        m_table.pauseGrantsUntil(service, now + takeOverTime);
    }
    m_placedAt[service] = now;
}

void FleetPlacement::forgetFormerServices(TimePoint now)
{
    std::erase_if(m_placedAt, [&](const auto &placed) {
        return now >= placed.second + ownershipMemory && m_owners.owner(placed.first, now) != m_self;
    });
}

void FleetPlacement::carryOut(const Placement::PlacementActions &actions)
{
    for (const Placement::PlacementAction &action : actions) {
        const Placement::PlacementRequestId id = std::visit(
            [](const auto &concrete) {
                return concrete.id;
            },
            action);
        const auto *grant = std::get_if<Placement::Grant>(&action);
        if (id.host == m_self) {
            settle(id.number, grant != nullptr ? Answer(grant->assignment) : Answer(std::get<Placement::Refusal>(action)));
            continue;
        }
        m_asked.erase(id);
        if (grant == nullptr) {
            const std::string kind(errorAnswer(std::get<Placement::Refusal>(action).kind).name);
            m_log.write("placement_refused", {{"entry", id.host.value()}, {"demand", std::to_string(id.number)}, {"kind", kind}});
        }
        const auto caller = m_callers.find(id.host);
        if (caller != m_callers.end()) {
            caller->second->send(toPeerMessage(grant != nullptr ? toWire(*grant) : toWire(std::get<Placement::Refusal>(action))));
        } else if (grant != nullptr) {
            carryOut(m_table.ended(id, Placement::GrantOutcome::Cancelled, std::nullopt, Clock::now()));
        }
    }
}

void FleetPlacement::settle(std::uint64_t number, Answer answer)
{
    const auto open = m_open.find(number);
    if (open == m_open.end()) {
        return;
    }
    Handler handler = std::move(open->second.handler);
    if (const auto *assignment = std::get_if<Placement::Assignment>(&answer)) {
        open->second.assignment = *assignment;
    } else {
        m_open.erase(open);
    }
    handler(std::move(answer));
}

void FleetPlacement::onCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::PlacementCallT &call)
{
    const TimePoint now = Clock::now();
    const Placement::PlacementRequest placementRequest = fromWire(call, from, now);
    placeFor(placementRequest.service, now);
    if (m_asked.insert(placementRequest.id).second) {
        carryOut(m_table.submit(placementRequest, now));
    }
    if (m_asked.contains(placementRequest.id)) {
        m_log.write("placement_queued", {{"entry", from.value()}, {"demand", std::to_string(call.number)}, {"waiting", std::to_string(m_table.waiting())}});
        connection->send(toPeerMessage(queuedAnswer(placementRequest.id)));
        scheduleTick();
    }
}

void FleetPlacement::onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer)
{
    m_owners.answered(from);
    const auto open = m_open.find(answer.number);
    if (open == m_open.end() || open->second.owner != from || open->second.assignment) {
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
        open->second.queued = true;
        return;
    }
    if (answer.result == Wire::PlacementResult::Granted) {
        settle(answer.number, placeFromWire(answer));
    } else {
        settle(answer.number, refusalFromWire(answer, open->second.placementRequest.id));
    }
}

void FleetPlacement::onReport(const HostId &from, const Wire::PlacementReportT &report)
{
    const Placement::PlacementRequestId id{from, report.number};
    if (!report.ended) {
        m_table.firstEventReceived(id);
        return;
    }
    m_asked.erase(id);
    const std::optional<UpstreamId> faulty = report.faulty.empty() ? std::nullopt : std::optional<UpstreamId>(UpstreamId(report.faulty));
    carryOut(m_table.ended(id, static_cast<Placement::GrantOutcome>(report.outcome), faulty, Clock::now()));
}

void FleetPlacement::onAdoption(const HostId &from, const Wire::PlacementAdoptionT &adoption)
{
    const TimePoint now = Clock::now();
    m_table.adopt(fromWire(adoption, from, now), now);
}

void FleetPlacement::sendReport(const HostId &owner, const Wire::PlacementReportT &report)
{
    if (m_hosts.contains(owner)) {
        link(owner)->send(toPeerMessage(report));
    }
}

void FleetPlacement::scheduleTick()
{
    if (m_ticking || (m_open.empty() && m_table.waiting() == 0 && m_table.granted() == 0)) {
        return;
    }
    m_ticking = true;
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_ticking = false;
        if (!error) {
            tick();
        }
    });
}

void FleetPlacement::tick()
{
    const TimePoint now = Clock::now();
    carryOut(m_table.tick(now));
    forgetFormerServices(now);
    checkOwners(now);
    scheduleTick();
}

// Sends demands without an answer to the next owner, and reports grants in use to owners that do not know them.
void FleetPlacement::checkOwners(TimePoint now)
{
    std::set<HostId> silent;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, open] : m_open) {
        numbers.push_back(number);
        const bool unanswered = !open.assignment && open.owner != m_self && !open.queued && now >= open.answerDue;
        if (unanswered && !open.owner.empty()) {
            silent.insert(open.owner);
        }
    }
    for (const HostId &host : silent) {
        ownerSilent(host, now);
    }
    // Asking may settle demands, so each one is looked up again.
    for (const std::uint64_t number : numbers) {
        const auto position = m_open.find(number);
        if (position == m_open.end()) {
            continue;
        }
        Open &open = position->second;
        const HostId owner = m_owners.owner(open.placementRequest.service, now);
        const bool unowned = open.owner.empty() || (open.owner != owner && open.owner != m_self);
        const bool stale = open.owner != m_self && open.queued && now >= open.askAgainAt;
        if (!open.assignment && (unowned || stale)) {
            open.queued = false;
            ask(open, now);
        } else if (open.assignment && open.owner != owner) {
            const Placement::ReportedGrant grant{open.placementRequest, open.assignment->upstream, open.assignment->helpers, open.reading};
            open.owner = owner;
            if (owner == m_self) {
                m_table.adopt(grant, now);
            } else {
                link(owner)->send(toPeerMessage(toWire(grant, now)));
            }
        }
    }
}

std::shared_ptr<PeerLink> FleetPlacement::link(const HostId &host)
{
    std::shared_ptr<PeerLink> &link = m_links[host];
    if (!link) {
        const NetworkAddress &address = m_hosts.at(host).address;
        link = std::make_shared<PeerLink>(m_io, address.address, address.port, m_hello, *this, [](std::size_t) {});
    }
    return link;
}

std::shared_ptr<PeerLink> FleetPlacement::takeLink(const HostId &host)
{
    const auto entry = m_links.extract(host);
    return entry.empty() ? nullptr : entry.mapped();
}

void FleetPlacement::ownerSilent(const HostId &host, TimePoint now)
{
    m_log.write("owner_silent", {{"peer", host.value()}});
    m_owners.unanswered(host, now);
    if (const std::shared_ptr<PeerLink> former = takeLink(host)) {
        former->closeSilently();
    }
    for (auto &[number, open] : m_open) {
        if (open.owner == host) {
            open.owner = HostId();
        }
    }
}

}
