#include "Forwarding/OwnedServices.h"

#include "Base/ErrorAnswer.h"
#include "Forwarding/WirePlacement.h"
#include "Telemetry/EventLog.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace Mangofall::Forwarding {

namespace {

// Entry hosts report their grants to a new owner as soon as they know it. This leaves time to connect and for a host that has used up its processor quota.
constexpr std::chrono::milliseconds takeoverDelay{80};
// If another host owns a service and this host has handled no placement request for it for this long, this host counts as a new owner the next time.
constexpr std::chrono::milliseconds ownershipRetention{1000};

}

OwnedServices::OwnedServices(Placement::PlacementTable &table, EventLog &log, MembershipOptions options)
    : m_table(table)
    , m_log(log)
    , m_options(std::move(options))
    , m_retryLender(std::random_device{}())
{
    if (m_options.view) {
        m_gate.emplace(OwnershipLimits{.staleAfter = m_options.staleAfter});
    }
}

void OwnedServices::setServices(const std::vector<Placement::ServiceSpec> &services)
{
    if (!m_gate) {
        return;
    }
    std::set<ServiceId> ids;
    std::transform(services.begin(), services.end(), std::inserter(ids, ids.end()), [](const Placement::ServiceSpec &spec) {
        return spec.id;
    });
    m_gate->setServices(std::move(ids));
}

void OwnedServices::setLentRetryShare(const RetryShare &share)
{
    m_retryLender.setShare(share);
}

void OwnedServices::startLeaving()
{
    if (m_gate) {
        m_gate->startLeaving();
    }
}

OwnershipDecision OwnedServices::decide(const Placement::PlacementRequest &request, const std::optional<StoreViewStatus> &caller, TimePoint now)
{
    return m_gate ? m_gate->decide(request, caller, m_options.view(), now) : OwnershipDecision::Place;
}

OwnedServices::DecidedRequests OwnedServices::takeDecided(TimePoint now)
{
    return defersAny() ? m_gate->takeDecided(m_options.view(), now) : DecidedRequests();
}

void OwnedServices::withdrawn(const Placement::PlacementRequestId &id)
{
    if (m_gate) {
        m_gate->remove(id);
    }
}

void OwnedServices::hostLost(const HostId &host)
{
    if (m_gate) {
        m_gate->removeHost(host);
    }
}

bool OwnedServices::defersAny() const
{
    return m_gate && m_gate->keepsAny();
}

Duration OwnedServices::declineTime() const
{
    return m_gate ? m_gate->declineTime() : Duration::zero();
}

void OwnedServices::describeView(Wire::PlacementCallT &call) const
{
    if (m_options.view) {
        setView(call, m_options.view());
    }
}

void OwnedServices::record(const ServiceId &service, bool alone, TimePoint now)
{
    const auto known = m_ownerships.find(service);
    const bool isNew = known == m_ownerships.end();
    if (isNew && !alone) {
        m_log.write("placing_for_service", {{"service", service.value()}});
        m_table.pauseGrantsUntil(service, now + takeoverDelay);
    }
    if (!alone && (isNew || known->second.interrupted)) {
        m_table.assumeColdRatesUsed(service, now);
    }
    if (isNew) {
        m_retryLender.forget(service);
    }
    m_ownerships[service] = Ownership{now, false};
}

bool OwnedServices::owns(const ServiceId &service) const
{
    return m_ownerships.contains(service);
}

Placement::PlacementActions OwnedServices::place(const Placement::PlacementRequest &request, TimePoint now)
{
    if (request.firstAttempt) {
        m_retryLender.countRequest(request.service);
    }
    if (request.borrowsRetry && !m_retryLender.lend(request.service)) {
        return {Placement::Refusal{request.id, ErrorKind::NoUpstream, errorAnswer(ErrorKind::UpstreamRefused).retryAfter}};
    }
    return m_table.submit(request, now);
}

void OwnedServices::expire(TimePoint now, const std::function<bool(const ServiceId &)> &isOwner)
{
    for (auto &[service, ownership] : m_ownerships) {
        ownership.interrupted = ownership.interrupted || !isOwner(service);
    }
    std::erase_if(m_ownerships, [&](const auto &entry) {
        return now >= entry.second.lastPlacedAt + ownershipRetention && !isOwner(entry.first);
    });
}

}
