#include "Placement/PlacementTable.h"

#include "Placement/EngineSelector.h"
#include "Placement/SlotSelector.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Mangofall::Placement {

namespace {

constexpr std::chrono::milliseconds shortestRetryAfter{100};
constexpr std::chrono::milliseconds longestRetryAfter{5000};
// Callers come back in time if they are told to wait for this part of the time that they have left.
constexpr double retryParts = 3;
// A new owner gets the requests that waited for it within this time.
constexpr std::chrono::milliseconds settleTime{1000};
constexpr double retrySpread = 0.25;
constexpr std::uint64_t retrySteps = 256;

std::unique_ptr<UpstreamSelector> makeSelector(const ServiceSpec &spec)
{
    if (spec.engine) {
        return std::make_unique<EngineSelector>(*spec.engine);
    }
    return std::make_unique<SlotSelector>();
}

// Requests that were refused together are told different times, so that they do not come back together.
Duration retryAfter(const PlacementRequest &placementRequest, TimePoint now)
{
    const double spread = 1 - retrySpread * static_cast<double>(placementRequest.fingerprint % retrySteps) / retrySteps;
    const Duration longest = toDuration(Seconds(placementRequest.deadline - now) / retryParts * spread);
    return std::clamp<Duration>(longest, shortestRetryAfter, longestRetryAfter);
}

bool isSameStart(const UpstreamEntry &left, const UpstreamEntry &right)
{
    return left.startedAt == right.startedAt && left.address == right.address && left.service == right.service;
}

}

PlacementTable::PlacementTable(const PlacementLimits &limits)
    : m_limits(limits)
{
}

PlacementTable::~PlacementTable() = default;

void PlacementTable::setServices(const std::vector<ServiceSpec> &services)
{
    std::map<ServiceId, Service> next;
    for (const ServiceSpec &spec : services) {
        const auto known = m_services.find(spec.id);
        if (known != m_services.end() && known->second.spec == spec) {
            next.emplace(spec.id, std::move(known->second));
        } else {
            next.emplace(spec.id, Service{spec, makeSelector(spec), {}, {}, {}, {}});
        }
    }
    m_services = std::move(next);
    indexUpstreams();
}

PlacementActions PlacementTable::setUpstreams(const std::vector<UpstreamEntry> &upstreams, TimePoint now)
{
    std::set<UpstreamId> present;
    for (const UpstreamEntry &entry : upstreams) {
        present.insert(entry.id);
        const auto known = m_upstreams.find(entry.id);
        if (known != m_upstreams.end() && isSameStart(known->second.entry(), entry)) {
            known->second.setEntry(entry);
            continue;
        }
        if (known != m_upstreams.end()) {
            m_upstreams.erase(known);
        }
        const auto service = m_services.find(entry.service);
        const double coldRate = service == m_services.end() ? 0 : service->second.spec.coldRequestsPerSecond;
        m_upstreams.emplace(entry.id, UpstreamLoad(entry, coldRate));
    }
    std::erase_if(m_upstreams, [&](const auto &known) {
        return !present.contains(known.first);
    });
    indexUpstreams();
    return serveWaiting(now);
}

PlacementActions PlacementTable::submit(const PlacementRequest &placementRequest, TimePoint now)
{
    const auto service = m_services.find(placementRequest.service);
    if (service == m_services.end()) {
        return {Refusal{placementRequest.id, ErrorKind::NoUpstream, longestRetryAfter}};
    }
    if (!m_crashes.admit(placementRequest.fingerprint, now)) {
        return {Refusal{placementRequest.id, ErrorKind::Quarantined, m_crashes.heldFor(placementRequest.fingerprint, now)}};
    }
    const UpstreamSelector &selector = *service->second.selector;
    const Waiting waiting{placementRequest, selector.latestStart(placementRequest), selector.workOf(placementRequest), selector.needsCalm(placementRequest)};
    service->second.forecast.offered(waiting.work, now);
    if (m_waiting.size() >= m_limits.maxWaiting) {
        return {Refusal{placementRequest.id, ErrorKind::QueueFull, longestRetryAfter}};
    }
    if (!waiting.needsCalm) {
        if (std::optional<Grant> grant = tryGrant(placementRequest, now)) {
            return {std::move(*grant)};
        }
    }
    if (std::optional<Refusal> refused = refusal(waiting, now)) {
        return {std::move(*refused)};
    }
    m_waiting.push_back(waiting);
    return {};
}

void PlacementTable::firstEventReceived(const PlacementRequestId &id)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return;
    }
    if (UpstreamLoad *load = find(grant->second.upstream)) {
        load->readDone(id);
        load->failures().answers();
    }
    for (const UpstreamId &helper : grant->second.helpers) {
        if (UpstreamLoad *load = find(helper)) {
            load->readDone(id);
        }
    }
}

PlacementActions PlacementTable::ended(const PlacementRequestId &id, GrantOutcome outcome, const std::optional<UpstreamId> &faulty, TimePoint now)
{
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.placementRequest.id == id;
    });
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return {};
    }
    const UpstreamId blamed = faulty.value_or(grant->second.upstream);
    bool wasDown = false;
    if (UpstreamLoad *load = find(blamed)) {
        wasDown = load->failures().wasDown(grant->second.grantedAt);
        load->failures().record(outcome, now);
    }
    // A break of an upstream that was already down says nothing about the request.
    if (outcome == GrantOutcome::Broken && !wasDown) {
        m_crashes.broken(grant->second.fingerprint, now);
    } else if (outcome == GrantOutcome::Completed) {
        m_crashes.completed(grant->second.fingerprint);
    }
    release(id);
    return placeFreed(now);
}

void PlacementTable::pauseGrantsUntil(const ServiceId &service, TimePoint time)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        known->second.heldUntil = time;
    }
}

void PlacementTable::adopt(const ReportedGrant &grant, TimePoint now)
{
    const PlacementRequestId &id = grant.placementRequest.id;
    if (const auto known = m_grants.find(id); known != m_grants.end()) {
        known->second.endsAt = grant.placementRequest.deadline + m_limits.grantSlack;
        return;
    }
    m_grants[id] = GrantRecord{grant.upstream, grant.helpers, grant.placementRequest.fingerprint, now, grant.placementRequest.deadline + m_limits.grantSlack};
    const auto service = m_services.find(grant.placementRequest.service);
    const auto parts = static_cast<std::uint32_t>(grant.helpers.size() + 1);
    const Duration read = service == m_services.end() ? Duration::zero() : service->second.selector->partPrefillTime(grant.placementRequest, parts);
    const std::uint64_t tokens = grant.placementRequest.promptTokens + grant.placementRequest.outputTokens;
    Work work{false, grant.reading, grant.placementRequest.promptTokens, tokens, grant.placementRequest.pauseLimit, read, {}};
    if (UpstreamLoad *load = find(grant.upstream)) {
        load->add(id, work, now);
    }
    work.helper = true;
    work.memoryTokens = 0;
    for (const UpstreamId &helper : grant.helpers) {
        UpstreamLoad *load = find(helper);
        if (load != nullptr && grant.reading) {
            load->add(id, work, now);
        }
    }
}

void PlacementTable::hostLost(const HostId &host, TimePoint now)
{
    for (auto &[id, grant] : m_grants) {
        if (id.host == host) {
            grant.endsAt = std::min(grant.endsAt, now + m_limits.orphanTime);
        }
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.placementRequest.id.host == host;
    });
}

PlacementActions PlacementTable::tick(TimePoint now)
{
    if (now >= m_overdueCheckedAt + m_limits.overdueInterval) {
        endOverdueGrants(now);
        m_overdueCheckedAt = now;
    }
    return serveWaiting(now);
}

std::size_t PlacementTable::waiting() const
{
    return m_waiting.size();
}

std::size_t PlacementTable::granted() const
{
    return m_grants.size();
}

const UpstreamLoad *PlacementTable::load(const UpstreamId &id) const
{
    const auto position = m_upstreams.find(id);
    return position == m_upstreams.end() ? nullptr : &position->second;
}

UpstreamLoad *PlacementTable::find(const UpstreamId &id)
{
    const auto position = m_upstreams.find(id);
    return position == m_upstreams.end() ? nullptr : &position->second;
}

UpstreamSelector::Candidates PlacementTable::candidates(const Service &service, const PlacementRequest &placementRequest, TimePoint now)
{
    UpstreamSelector::Candidates result;
    result.reserve(service.upstreams.size());
    for (UpstreamLoad *load : service.upstreams) {
        const bool excluded = !placementRequest.excluded.empty() && placementRequest.excluded.contains(load->entry().id);
        if (!excluded && load->mayStart(now)) {
            result.push_back(load);
        }
    }
    return result;
}

std::optional<Grant> PlacementTable::tryGrant(const PlacementRequest &placementRequest, TimePoint now)
{
    const auto service = m_services.find(placementRequest.service);
    if (service == m_services.end() || now < service->second.heldUntil) {
        return std::nullopt;
    }
    const std::optional<Selection> selection = service->second.selector->select(placementRequest, candidates(service->second, placementRequest, now), now);
    if (!selection) {
        return std::nullopt;
    }
    Grant grant;
    grant.id = placementRequest.id;
    grant.assignment.upstream = selection->primary->entry().id;
    grant.assignment.address = selection->primary->entry().address;
    grant.assignment.firstEventEstimate = selection->firstEventEstimate;
    grant.assignment.helperMemory = selection->helperMemory;
    const std::uint64_t elsewhere = std::accumulate(selection->helperMemory.begin(), selection->helperMemory.end(), std::uint64_t{0});
    Work work{false,
              true,
              placementRequest.promptTokens,
              placementRequest.promptTokens + placementRequest.outputTokens - elsewhere,
              placementRequest.pauseLimit,
              selection->partPrefillTime,
              {}};
    selection->primary->add(placementRequest.id, work, now);
    selection->primary->failures().granted(now);
    work.helper = true;
    for (std::size_t index = 0; index < selection->helpers.size(); ++index) {
        UpstreamLoad *helper = selection->helpers[index];
        work.memoryTokens = selection->helperMemory.empty() ? 0 : selection->helperMemory[index];
        helper->add(placementRequest.id, work, now);
        grant.assignment.helpers.push_back(helper->entry().id);
        grant.assignment.helperAddresses.push_back(helper->entry().address);
    }
    m_grants[placementRequest.id]
        = GrantRecord{grant.assignment.upstream, grant.assignment.helpers, placementRequest.fingerprint, now, placementRequest.deadline + m_limits.grantSlack};
    return grant;
}

std::optional<Refusal> PlacementTable::refusal(const Waiting &waiting, TimePoint now) const
{
    const PlacementRequest &placementRequest = waiting.placementRequest;
    const auto service = m_services.find(placementRequest.service);
    if (service == m_services.end()) {
        return Refusal{placementRequest.id, ErrorKind::NoUpstream, longestRetryAfter};
    }
    if (placementRequest.deadline - now <= service->second.selector->leastServiceTime(placementRequest)) {
        return Refusal{placementRequest.id, ErrorKind::DeadlineUnreachable, retryAfter(placementRequest, now)};
    }
    if (service->second.upstreams.empty() && now >= placementRequest.arrivedAt + m_limits.noUpstreamWait) {
        return Refusal{placementRequest.id, ErrorKind::NoUpstream, retryAfter(placementRequest, now)};
    }
    return std::nullopt;
}

PlacementActions PlacementTable::placeFreed(TimePoint now)
{
    return now >= m_servedAt + m_limits.serveInterval ? serveWaiting(now) : PlacementActions();
}

bool PlacementTable::mayStart(const Service &service, const Waiting &waiting, TimePoint now)
{
    return !waiting.needsCalm || (service.workAhead.empty() && now >= service.heldUntil + settleTime);
}

bool PlacementTable::reachable(const Service &service, const Waiting &waiting, TimePoint now)
{
    const bool late = waiting.latestStart <= now;
    const Duration wait = service.forecast.wait(service.workAhead.ahead(waiting.work), service.upstreams.size(), late, now);
    return wait + service.selector->leastServiceTime(waiting.placementRequest) <= waiting.placementRequest.deadline - now;
}

// Demands that can still be on time go first, the one that must start soonest before the others, and those that need calm last; then those that are
// late, in order of arrival.
PlacementActions PlacementTable::serveWaiting(TimePoint now)
{
    PlacementActions actions;
    m_servedAt = now;
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [now](const Waiting &left, const Waiting &right) {
        const bool leftLate = left.latestStart <= now;
        const bool rightLate = right.latestStart <= now;
        if (leftLate != rightLate) {
            return rightLate;
        }
        if (left.needsCalm != right.needsCalm) {
            return right.needsCalm;
        }
        if (left.placementRequest.priority != right.placementRequest.priority) {
            return left.placementRequest.priority < right.placementRequest.priority;
        }
        return leftLate ? left.placementRequest.arrivedAt < right.placementRequest.arrivedAt : left.latestStart < right.latestStart;
    });
    for (auto &[id, service] : m_services) {
        service.workAhead.clear();
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (std::optional<Refusal> refused = refusal(waiting, now)) {
            actions.emplace_back(std::move(*refused));
            return true;
        }
        Service &service = m_services.at(waiting.placementRequest.service);
        std::optional<Grant> grant = mayStart(service, waiting, now) ? tryGrant(waiting.placementRequest, now) : std::nullopt;
        if (grant) {
            actions.emplace_back(std::move(*grant));
            return true;
        }
        if (!service.upstreams.empty() && now >= service.heldUntil && !reachable(service, waiting, now)) {
            actions.emplace_back(Refusal{waiting.placementRequest.id, ErrorKind::DeadlineUnreachable, retryAfter(waiting.placementRequest, now)});
            return true;
        }
        service.workAhead.add(waiting.work);
        return false;
    });
    return actions;
}

void PlacementTable::release(const PlacementRequestId &id)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return;
    }
    if (UpstreamLoad *load = find(grant->second.upstream)) {
        load->remove(id);
    }
    for (const UpstreamId &helper : grant->second.helpers) {
        if (UpstreamLoad *load = find(helper)) {
            load->remove(id);
        }
    }
    m_grants.erase(grant);
}

void PlacementTable::indexUpstreams()
{
    for (auto &[id, service] : m_services) {
        service.upstreams.clear();
    }
    for (auto &[id, load] : m_upstreams) {
        const auto service = m_services.find(load.entry().service);
        if (service != m_services.end() && load.entry().accepting) {
            service->second.upstreams.push_back(&load);
        }
    }
}

void PlacementTable::endOverdueGrants(TimePoint now)
{
    std::vector<PlacementRequestId> overdue;
    for (const auto &[id, grant] : m_grants) {
        if (grant.endsAt <= now) {
            overdue.push_back(id);
        }
    }
    for (const PlacementRequestId &id : overdue) {
        release(id);
    }
}

}
