#include "Placement/PlacementTable.h"

#include "Placement/DataCentreLoads.h"
#include "Placement/EngineSelector.h"
#include "Placement/RetryAfter.h"
#include "Placement/ServiceLateness.h"
#include "Placement/SlotSelector.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Engines give up the work that depends on a helper that is gone after 1.5 seconds.
constexpr std::chrono::milliseconds leastStallTime{1000};

std::unique_ptr<UpstreamSelector> makeSelector(const ServiceSpec &spec, std::shared_ptr<const DistanceCost> distance)
{
    if (spec.engine) {
        return std::make_unique<EngineSelector>(*spec.engine, spec.advanceReservation, std::move(distance));
    }
    return std::make_unique<SlotSelector>(std::move(distance));
}

}

PlacementTable::PlacementTable(const PlacementLimits &limits, CrashRecord &crashes)
    : m_limits(limits)
    , m_crashes(crashes)
{
}

PlacementTable::~PlacementTable() = default;

void PlacementTable::setOptions(const PlacementOptions &options)
{
    m_options = options;
}

void PlacementTable::setServices(const std::vector<ServiceSpec> &services)
{
    std::map<ServiceId, Service> next;
    for (const ServiceSpec &spec : services) {
        const auto known = m_services.find(spec.id);
        if (known != m_services.end() && known->second.spec == spec) {
            next.emplace(spec.id, std::move(known->second));
        } else {
            next.emplace(spec.id, makeService(spec));
        }
    }
    m_services = std::move(next);
    for (auto &[id, load] : m_upstreams) {
        load.setColdRate(coldRateOf(load.entry().service));
    }
    indexUpstreams();
}

PlacementActions PlacementTable::setUpstreams(const std::vector<UpstreamEntry> &upstreams, TimePoint now)
{
    std::set<UpstreamId> present;
    m_coldUntil = TimePoint();
    for (const UpstreamEntry &entry : upstreams) {
        present.insert(entry.id);
        m_coldUntil = std::max(m_coldUntil, entry.coldUntil);
        const auto known = m_upstreams.find(entry.id);
        if (known != m_upstreams.end() && isSameStart(known->second.entry(), entry)) {
            known->second.setEntry(entry);
            continue;
        }
        if (known != m_upstreams.end()) {
            m_upstreams.erase(known);
        }
        UpstreamLoad &added = m_upstreams.emplace(entry.id, UpstreamLoad(entry, coldRateOf(entry.service), coldShareOf(entry.service))).first->second;
        if (m_allColdRatesUsedAt) {
            added.assumeColdRateUsed(*m_allColdRatesUsedAt);
        }
    }
    std::erase_if(m_upstreams, [&](const auto &known) {
        return !present.contains(known.first);
    });
    indexUpstreams();
    return serveWaiting(now);
}

PlacementActions PlacementTable::submit(const PlacementRequest &request, TimePoint now)
{
    const auto service = m_services.find(request.service);
    if (service == m_services.end()) {
        return {Refusal{request.id, ErrorKind::NoUpstream, longestRetryAfter}};
    }
    if (std::optional<Refusal> held = quarantine(request, now)) {
        return {std::move(*held)};
    }
    // The record of a grant is replaced by that of the next one, and the load of the first would never be taken from its upstream.
    release(request.id, now);
    const UpstreamSelector &selector = *service->second.selector;
    const Waiting waiting{request, selector.latestStart(request), selector.workOf(request), selector.needsLowLoad(request)};
    service->second.forecast.recordArrival(waiting.work, now);
    if (m_waiting.size() >= m_limits.maxWaiting) {
        return {Refusal{request.id, ErrorKind::QueueFull, longestRetryAfter}};
    }
    if (!waiting.needsLowLoad) {
        if (std::optional<Grant> grant = tryGrant(request, now)) {
            return {std::move(*grant)};
        }
    }
    if (std::optional<Refusal> refused = refusal(waiting, now)) {
        return {std::move(*refused)};
    }
    m_waiting.push_back(waiting);
    return {};
}

void PlacementTable::firstEventReceived(const PlacementRequestId &id, TimePoint now)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return;
    }
    if (UpstreamLoad *load = find(grant->second.upstream)) {
        load->prefillDone(id, now);
        load->failures().responded();
        if (m_options.reportedLoad) {
            load->lateness().record(std::exchange(grant->second.estimate, Duration::zero()), now - grant->second.grantedAt, now);
        }
        m_outages.recordAnswer(load->entry().dataCentre);
    }
    for (const UpstreamId &helper : grant->second.helpers) {
        if (UpstreamLoad *load = find(helper)) {
            load->prefillDone(id, now);
            m_outages.recordAnswer(load->entry().dataCentre);
        }
    }
}

void PlacementTable::loadReported(const PlacementRequestId &id, const ReportedLoad &report, TimePoint takenAt, TimePoint now)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end() || !m_options.reportedLoad) {
        return;
    }
    UpstreamLoad *load = find(grant->second.upstream);
    // Other slots than in the upstream list show that the numbers mean something else; taken for load they could make every upstream look full.
    if (load != nullptr && report.slots == load->entry().slots) {
        load->unknownLoad().reported(report, takenAt, now);
    }
}

PlacementActions PlacementTable::ended(const PlacementRequestId &id, GrantOutcome outcome, const std::optional<UpstreamId> &faulty, TimePoint now)
{
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.request.id == id;
    });
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return {};
    }
    const UpstreamId faultyUpstream = faulty.value_or(grant->second.upstream);
    if (UpstreamLoad *load = find(faultyUpstream)) {
        if (faulty && outcome == GrantOutcome::Rejected) {
            recordFaultyHelper(*load, now - grant->second.grantedAt, now);
        } else {
            recordOutcome(*load, outcome, now);
        }
    }
    if (grant->second.trial && wasNotSent(outcome)) {
        m_crashes.returnTrial(suspectsOf(grant->second.sharedParts, grant->second.fingerprint), *grant->second.trial, now);
    }
    // The entry host may not know of crashes that others have reported here.
    if (outcome == GrantOutcome::Completed) {
        m_crashes.recordSuccess(grant->second.sharedParts, now);
        m_crashes.recordRequestSuccess(grant->second.fingerprint, now);
    }
    release(id, now);
    return serveAfterRelease(now);
}

void PlacementTable::recordOutcome(UpstreamLoad &load, GrantOutcome outcome, TimePoint now)
{
    load.failures().record(outcome, now);
    if (outcome == GrantOutcome::Unreachable || outcome == GrantOutcome::Silent) {
        m_outages.recordSilence(load.entry().dataCentre, load.entry().id, now);
    } else if (outcome == GrantOutcome::Completed) {
        m_outages.recordAnswer(load.entry().dataCentre);
    }
}

// This table gives a helper one prompt at a time, so that one that cannot help is leaving or gone rather than full. The work stalls first if it is gone.
void PlacementTable::recordFaultyHelper(UpstreamLoad &helper, Duration elapsed, TimePoint now)
{
    helper.failures().record(GrantOutcome::Unreachable, now);
    if (elapsed >= leastStallTime) {
        m_outages.recordSilence(helper.entry().dataCentre, helper.entry().id, now);
    }
}

void PlacementTable::noticeReceived(const HostId &host, const UpstreamId &upstream, std::uint64_t start, const UpstreamNotice &notice, TimePoint now)
{
    UpstreamLoad *load = find(upstream);
    if (load == nullptr || load->entry().startedAt != start) {
        return;
    }
    const bool saidLeaving = load->saysLeaving();
    load->recordNotice(host, notice, now);
    if (load->saysLeaving() != saidLeaving) {
        indexUpstreams();
    }
}

void PlacementTable::pauseGrantsUntil(const ServiceId &service, TimePoint time)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        known->second.grantsPausedUntil = time;
    }
}

void PlacementTable::pauseAllGrantsUntil(TimePoint time)
{
    for (auto &[id, service] : m_services) {
        service.grantsPausedUntil = std::max(service.grantsPausedUntil, time);
    }
}

void PlacementTable::adopt(const ReportedGrant &grant, TimePoint now)
{
    const PlacementRequestId &id = grant.placementRequest.id;
    if (const auto known = m_grants.find(id); known != m_grants.end()) {
        known->second.endsAt = grant.placementRequest.deadline + m_limits.grantSlack;
        return;
    }
    m_grants[id] = GrantRecord{grant.placementRequest.service,
                               grant.placementRequest.dataCentre,
                               grant.upstream,
                               grant.helpers,
                               now,
                               grant.placementRequest.deadline + m_limits.grantSlack,
                               grant.placementRequest.sharedParts,
                               grant.placementRequest.fingerprint,
                               std::nullopt,
                               Duration::zero()};
    if (DataCentreTraffic *traffic = trafficOf(grant.placementRequest.service)) {
        traffic->adopted(grant.placementRequest.dataCentre);
    }
    const auto service = m_services.find(grant.placementRequest.service);
    const auto parts = static_cast<std::uint32_t>(grant.helpers.size() + 1);
    const Duration prefill = service == m_services.end() ? Duration::zero() : service->second.selector->partPrefillTime(grant.placementRequest, parts);
    const std::uint64_t tokens = grant.placementRequest.promptTokens + grant.placementRequest.outputTokens;
    GrantLoad grantLoad{false, grant.reading, grant.placementRequest.promptTokens, tokens, grant.placementRequest.pauseLimit, prefill, {}};
    grantLoad.outputTokens = grant.placementRequest.outputTokens;
    if (UpstreamLoad *load = find(grant.upstream)) {
        load->add(id, grantLoad, now);
        load->unknownLoad().adopted(id);
    }
    grantLoad.helper = true;
    grantLoad.memoryTokens = 0;
    for (const UpstreamId &helper : grant.helpers) {
        UpstreamLoad *load = find(helper);
        if (load != nullptr && grant.reading) {
            load->add(id, grantLoad, now);
            load->unknownLoad().adopted(id);
        }
    }
}

void PlacementTable::hostLost(const HostId &host, TimePoint now)
{
    for (auto &[id, grant] : m_grants) {
        if (id.host == host) {
            grant.endsAt = std::min(grant.endsAt, now + m_limits.lostHostGrantTime);
        }
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.request.id.host == host;
    });
}

PlacementActions PlacementTable::tick(TimePoint now)
{
    if (now >= m_overdueCheckedAt + m_limits.overdueInterval) {
        endOverdueGrants(now);
        updateFindings(now);
        m_overdueCheckedAt = now;
    }
    return serveWaiting(now);
}

std::size_t PlacementTable::waiting() const
{
    return m_waiting.size();
}

std::optional<TimePoint> PlacementTable::grantedAt(const PlacementRequestId &id) const
{
    const auto grant = m_grants.find(id);
    return grant == m_grants.end() ? std::nullopt : std::optional(grant->second.grantedAt);
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

LoadFindings PlacementTable::findings(TimePoint now) const
{
    LoadFindings findings;
    for (const auto &[id, load] : m_upstreams) {
        findings.unknownRequests += load.unknownLoad().requests(now);
        findings.slowUpstreams += load.slowness() > 1 ? 1 : 0;
    }
    return findings;
}

PlacementTable::Service PlacementTable::makeService(const ServiceSpec &spec) const
{
    std::shared_ptr<DataCentreTraffic> traffic;
    if (m_options.crossDataCentre) {
        traffic = std::make_shared<DataCentreTraffic>(*m_options.crossDataCentre, spec.delays);
    }
    return Service{spec, traffic, makeSelector(spec, traffic), {}, {}, {}, makeReservations(spec), {}};
}

DataCentreTraffic *PlacementTable::trafficOf(const ServiceId &id) const
{
    const auto service = m_services.find(id);
    return service == m_services.end() ? nullptr : service->second.traffic.get();
}

std::vector<LeavingReport> PlacementTable::leavingReports(TimePoint now) const
{
    std::vector<LeavingReport> reports;
    for (const auto &[id, service] : m_services) {
        if (service.traffic) {
            std::ranges::move(service.traffic->reports(id, now), std::back_inserter(reports));
        }
    }
    return reports;
}

UpstreamLoad *PlacementTable::find(const UpstreamId &id)
{
    const auto position = m_upstreams.find(id);
    return position == m_upstreams.end() ? nullptr : &position->second;
}

UpstreamSelector::Candidates PlacementTable::candidates(const Service &service, const PlacementRequest &request, TimePoint now) const
{
    UpstreamSelector::Candidates result;
    UpstreamSelector::Candidates suspected;
    result.reserve(service.upstreams.size());
    for (UpstreamLoad *load : service.upstreams) {
        const bool excluded = !request.excluded.empty() && request.excluded.contains(load->entry().id);
        if (excluded || !load->keepsColdLimit(now) || now < load->acceptsFrom(request.id.host)) {
            continue;
        }
        const bool inOutage = !m_outages.empty() && m_outages.suspected(load->entry().dataCentre, now);
        (inOutage ? suspected : result).push_back(load);
    }
    return result.empty() ? suspected : result;
}

std::optional<Refusal> PlacementTable::quarantine(const PlacementRequest &request, TimePoint now) const
{
    if (m_crashes.heldCount() == 0) {
        return std::nullopt;
    }
    const CrashVerdict verdict = m_crashes.check(suspectsOf(request), now);
    if (verdict.standing != CrashStanding::Held) {
        return std::nullopt;
    }
    return Refusal{request.id, ErrorKind::Quarantined, quarantineRetryAfter(verdict.wait)};
}

std::optional<Grant> PlacementTable::tryGrant(const PlacementRequest &request, TimePoint now)
{
    const auto service = m_services.find(request.service);
    if (service == m_services.end() || now < service->second.grantsPausedUntil) {
        return std::nullopt;
    }
    const std::optional<Selection> selection = choose(service->second, request, now);
    if (!selection) {
        return std::nullopt;
    }
    if (service->second.reservations) {
        service->second.reservations->started(request.id, now);
    }
    Grant grant;
    grant.id = request.id;
    grant.assignment.upstream = selection->primary->entry().id;
    grant.assignment.address = selection->primary->entry().address;
    grant.assignment.upstreamStart = selection->primary->entry().startedAt;
    std::optional<CrashRecord::TrialGround> trial;
    if (m_crashes.heldCount() > 0 && m_crashes.check(suspectsOf(request), now).standing == CrashStanding::TrialDue) {
        trial = m_crashes.startTrial(suspectsOf(request), now);
        grant.assignment.crashTrial = true;
    }
    grant.assignment.firstEventEstimate = selection->firstEventEstimate;
    grant.assignment.helperMemory = selection->helperMemory;
    const std::uint64_t elsewhere = std::accumulate(selection->helperMemory.begin(), selection->helperMemory.end(), std::uint64_t{0});
    GrantLoad grantLoad{false,
                        true,
                        request.promptTokens,
                        request.promptTokens + request.outputTokens - elsewhere,
                        request.pauseLimit,
                        selection->partPrefillTime,
                        {},
                        request.outputTokens,
                        request.useDelay};
    selection->primary->add(request.id, grantLoad, now);
    selection->primary->failures().granted(now);
    selection->primary->unknownLoad().granted(request.id, now);
    grantLoad.helper = true;
    for (std::size_t index = 0; index < selection->helpers.size(); ++index) {
        UpstreamLoad *helper = selection->helpers[index];
        grantLoad.memoryTokens = selection->helperMemory.empty() ? 0 : selection->helperMemory[index];
        helper->add(request.id, grantLoad, now);
        helper->unknownLoad().granted(request.id, now);
        grant.assignment.helpers.push_back(helper->entry().id);
        grant.assignment.helperAddresses.push_back(helper->entry().address);
    }
    // With helpers it is not known which of the upstreams a late answer is due to.
    const Duration estimate
        = selection->helpers.empty() ? toDuration(Seconds(selection->firstEventEstimate) / selection->primary->slowness()) : Duration::zero();
    m_grants[request.id] = GrantRecord{request.service,
                                       request.dataCentre,
                                       grant.assignment.upstream,
                                       grant.assignment.helpers,
                                       now,
                                       request.deadline + m_limits.grantSlack,
                                       request.sharedParts,
                                       request.fingerprint,
                                       trial,
                                       estimate};
    if (service->second.traffic) {
        service->second.traffic->granted(request, selection->primary->entry().dataCentre);
    }
    return grant;
}

std::optional<TimePoint> PlacementTable::acceptedFrom(const Service &service, const HostId &host)
{
    std::optional<TimePoint> earliest;
    for (const UpstreamLoad *load : service.upstreams) {
        earliest = std::min(earliest.value_or(TimePoint::max()), load->acceptsFrom(host));
        if (*earliest == TimePoint()) {
            break;
        }
    }
    return earliest;
}

std::optional<Refusal> PlacementTable::refusal(const Waiting &waiting, TimePoint now) const
{
    const PlacementRequest &request = waiting.request;
    const auto service = m_services.find(request.service);
    if (service == m_services.end()) {
        return Refusal{request.id, ErrorKind::NoUpstream, longestRetryAfter};
    }
    const TimePoint earliestStart = std::max(now, acceptedFrom(service->second, request.id.host).value_or(now));
    if (request.deadline - earliestStart <= service->second.selector->leastServiceTime(request)) {
        return Refusal{request.id, ErrorKind::DeadlineUnreachable, retryAfter(request, now)};
    }
    if (service->second.upstreams.empty() && now >= request.arrivedAt + m_limits.noUpstreamWait) {
        return Refusal{request.id, ErrorKind::NoUpstream, retryAfter(request, now)};
    }
    return std::nullopt;
}

PlacementActions PlacementTable::serveAfterRelease(TimePoint now)
{
    return now >= m_servedAt + m_limits.serveInterval ? serveWaiting(now) : PlacementActions();
}

bool PlacementTable::canMeetDeadline(const Service &service, const Waiting &waiting, TimePoint now)
{
    if (waiting.needsLowLoad && service.reservations) {
        return !service.reservations->tooLateStart(waiting.request.id);
    }
    const bool late = waiting.latestStart <= now;
    const Duration wait = service.forecast.wait(service.workAhead.ahead(waiting.work), service.upstreams.size(), late, now);
    return wait + service.selector->leastServiceTime(waiting.request) <= waiting.request.deadline - now;
}

// Requests that can still be on time come before late ones. Within both groups, those that need a low load come last, and a lower priority value comes
// first; ties are ordered by the latest start if on time and by the arrival if late.
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
        if (left.needsLowLoad != right.needsLowLoad) {
            return right.needsLowLoad;
        }
        if (left.request.priority != right.request.priority) {
            return left.request.priority < right.request.priority;
        }
        return leftLate ? left.request.arrivedAt < right.request.arrivedAt : left.latestStart < right.latestStart;
    });
    planReservations(now);
    for (auto &[id, service] : m_services) {
        service.workAhead.clear();
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        std::optional<Refusal> refused = quarantine(waiting.request, now);
        if (!refused) {
            refused = refusal(waiting, now);
        }
        if (refused) {
            actions.emplace_back(std::move(*refused));
            return true;
        }
        Service &service = m_services.at(waiting.request.service);
        std::optional<Grant> grant = mayStart(service, waiting, now) ? tryGrant(waiting.request, now) : std::nullopt;
        if (grant) {
            actions.emplace_back(std::move(*grant));
            return true;
        }
        if (!service.upstreams.empty() && now >= service.grantsPausedUntil && !canMeetDeadline(service, waiting, now)) {
            actions.emplace_back(Refusal{waiting.request.id, ErrorKind::DeadlineUnreachable, retryAfterForecast(service, waiting, now)});
            return true;
        }
        service.workAhead.add(waiting.work);
        return false;
    });
    return actions;
}

void PlacementTable::release(const PlacementRequestId &id, TimePoint now)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return;
    }
    if (UpstreamLoad *load = find(grant->second.upstream)) {
        load->remove(id);
        load->unknownLoad().ended(id, now);
    }
    for (const UpstreamId &helper : grant->second.helpers) {
        if (UpstreamLoad *load = find(helper)) {
            load->remove(id);
            load->unknownLoad().ended(id, now);
        }
    }
    if (DataCentreTraffic *traffic = trafficOf(grant->second.service)) {
        traffic->ended(grant->second.home, now - grant->second.grantedAt);
    }
    m_grants.erase(grant);
}

void PlacementTable::updateFindings(TimePoint now)
{
    for (auto &[id, service] : m_services) {
        if (m_options.reportedLoad) {
            updateSlowness(service.upstreams, now);
        }
        if (service.traffic) {
            const std::uint32_t slotLimit = service.spec.engine ? service.spec.engine->slots : std::numeric_limits<std::uint32_t>::max();
            DataCentreTraffic::Loads loads = dataCentreLoads(service.upstreams, slotLimit, m_outages, now);
            for (const Waiting &waiting : m_waiting) {
                loads[waiting.request.dataCentre].waiting += waiting.request.service == id ? 1 : 0;
            }
            service.traffic->update(loads, now);
        }
    }
}

void PlacementTable::indexUpstreams()
{
    for (auto &[id, service] : m_services) {
        service.upstreams.clear();
    }
    for (auto &[id, load] : m_upstreams) {
        const auto service = m_services.find(load.entry().service);
        if (service != m_services.end() && load.entry().accepting && !load.saysLeaving()) {
            service->second.upstreams.push_back(&load);
        }
    }
    for (auto &[id, service] : m_services) {
        setReservableUpstreams(service);
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
        release(id, now);
    }
}

}
