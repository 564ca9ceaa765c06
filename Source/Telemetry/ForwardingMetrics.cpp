#include "Telemetry/ForwardingMetrics.h"

#include "Telemetry/MetricFamilies.h"

#include <prometheus/text_serializer.h>

namespace Mangofall {

namespace {

using prometheus::BuildHistogram;

const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds = {0.01, 0.03, 0.1, 0.15, 0.3, 0.6, 1, 1.5, 3, 6, 10, 15};

}

ForwardingMetrics::ForwardingMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_answers(registerCounterFamily(*m_registry, "mangofall_forwarded_answers_total", "Upstreams' answers handed to callers by route and status."))
    , m_refusals(registerCounterFamily(*m_registry, "mangofall_refusals_total", "Answers of mangofall's own by route and kind."))
    , m_retries(registerCounterFamily(
          *m_registry, "mangofall_forwarding_retries_total", "Retries by reason, including those refused because the retry budget was spent."))
    , m_storeCalls(registerCounterFamily(*m_registry, "mangofall_store_calls_total", "Calls to the store by kind."))
    , m_feedBytes(registerCounterFamily(*m_registry, "mangofall_feed_bytes_total", "Bytes sent to other hosts to pass on changes of the store."))
    , m_answerTime(BuildHistogram().Name("mangofall_answer_seconds").Help("Time to the end of an answer by route.").Register(*m_registry))
    , m_firstEvent(BuildHistogram().Name("mangofall_first_event_seconds").Help("Time to the first event of a stream by route.").Register(*m_registry))
    , m_refusedConfigurations(
          registerCounterFamily(*m_registry, "mangofall_configurations_refused_total", "Configurations of the store that were refused because of errors."))
    , m_heldSuspects(registerGauge(*m_registry, "mangofall_held_suspects", "Requests and parts of prompts held back because they appear to crash upstreams."))
    , m_requestBytes(registerGauge(*m_registry, "mangofall_request_body_bytes", "Memory that the bodies of requests in progress take."))
    , m_answerBytes(registerGauge(*m_registry, "mangofall_answer_bytes", "Memory that answers in progress take until they are passed on."))
    , m_viewAge(registerGauge(*m_registry, "mangofall_view_age_seconds", "Time since the store last answered, directly or through other hosts."))
    , m_viewRevision(registerGauge(*m_registry, "mangofall_view_revision", "Revision of the store up to which this host knows all changes."))
    , m_viewFollowsPeer(registerGauge(*m_registry, "mangofall_view_follows_peer", "1 if the last answer came from another host, 0 if from the store."))
    , m_feedConnections(registerGauge(*m_registry, "mangofall_feed_connections", "Hosts that are connected to read the changes of the store here."))
    , m_storeEra(registerGauge(*m_registry, "mangofall_store_era", "Newest era of the store that this host knows; it increases with each restore."))
    , m_storeEraAge(registerGauge(
          *m_registry, "mangofall_store_era_age_seconds", "Time since this host saw the era of the store change; 0 if it has not changed since the start."))
    , m_heldStoreItems(registerGauge(*m_registry, "mangofall_store_items_held", "Keys whose known item is held against an older one in the restored store."))
    , m_configurationVersion(registerGauge(*m_registry, "mangofall_configuration_version", "Version of the configuration in force on this host."))
    , m_liveHosts(registerGauge(*m_registry, "mangofall_live_hosts", "Hosts that this host considers alive."))
    , m_unlistedHosts(registerGauge(*m_registry, "mangofall_unlisted_hosts", "Hosts without an entry in the store that still answer their peers."))
    , m_ownershipDeclined(registerGauge(*m_registry, "mangofall_ownership_declined", "1 if this host declines to place requests as owner."))
    , m_upstreams(registerGauge(*m_registry, "mangofall_upstreams", "Upstreams that this host knows of."))
    , m_activeRequests(registerGauge(*m_registry, "mangofall_active_requests", "Requests of callers in progress on this host."))
    , m_waitingPlacementRequests(
          registerGauge(*m_registry, "mangofall_waiting_demands", "Placement requests from all hosts that wait at this host for an upstream."))
    , m_leavingShare(registerGaugeFamily(
          *m_registry, "mangofall_leaving_share", "Share of a data centre's requests that leave it, decided and observed by this host as owner."))
    , m_unknownRequests(
          registerGauge(*m_registry, "mangofall_unknown_upstream_requests", "Requests that upstreams run beyond the grants of this host as owner."))
    , m_slowUpstreams(registerGauge(*m_registry, "mangofall_slow_upstreams", "Upstreams that this host, as owner, takes to be slower than estimated."))
{
}

std::string ForwardingMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Registry &ForwardingMetrics::registry()
{
    return *m_registry;
}

void ForwardingMetrics::recordAnswer(const std::string &route, unsigned status, Duration elapsed)
{
    m_answers.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
    m_answerTime.Add({{"route", route}}, latencyBucketsSeconds).Observe(Seconds(elapsed).count());
}

void ForwardingMetrics::recordFirstEvent(const std::string &route, Duration elapsed)
{
    m_firstEvent.Add({{"route", route}}, latencyBucketsSeconds).Observe(Seconds(elapsed).count());
}

void ForwardingMetrics::recordRefusal(const std::string &route, const std::string &kind)
{
    m_refusals.Add({{"route", route}, {"kind", kind}}).Increment();
}

void ForwardingMetrics::recordRetry(const std::string &reason)
{
    m_retries.Add({{"reason", reason}}).Increment();
}

void ForwardingMetrics::countStoreCall(const std::string &kind)
{
    m_storeCalls.Add({{"kind", kind}}).Increment();
}

void ForwardingMetrics::countRefusedConfiguration()
{
    m_refusedConfigurations.Add({}).Increment();
}

void ForwardingMetrics::countFeedBytes(std::size_t bytes)
{
    m_feedBytes.Add({}).Increment(static_cast<double>(bytes));
}

prometheus::Gauge &ForwardingMetrics::heldSuspects()
{
    return m_heldSuspects;
}

prometheus::Gauge &ForwardingMetrics::requestBytes()
{
    return m_requestBytes;
}

prometheus::Gauge &ForwardingMetrics::answerBytes()
{
    return m_answerBytes;
}

prometheus::Gauge &ForwardingMetrics::viewAge()
{
    return m_viewAge;
}

prometheus::Gauge &ForwardingMetrics::viewRevision()
{
    return m_viewRevision;
}

prometheus::Gauge &ForwardingMetrics::viewFollowsPeer()
{
    return m_viewFollowsPeer;
}

prometheus::Gauge &ForwardingMetrics::storeEra()
{
    return m_storeEra;
}

prometheus::Gauge &ForwardingMetrics::storeEraAge()
{
    return m_storeEraAge;
}

prometheus::Gauge &ForwardingMetrics::heldStoreItems()
{
    return m_heldStoreItems;
}

prometheus::Gauge &ForwardingMetrics::feedConnections()
{
    return m_feedConnections;
}

prometheus::Gauge &ForwardingMetrics::configurationVersion()
{
    return m_configurationVersion;
}

prometheus::Gauge &ForwardingMetrics::liveHosts()
{
    return m_liveHosts;
}

prometheus::Gauge &ForwardingMetrics::unlistedHosts()
{
    return m_unlistedHosts;
}

prometheus::Gauge &ForwardingMetrics::ownershipDeclined()
{
    return m_ownershipDeclined;
}

prometheus::Gauge &ForwardingMetrics::upstreams()
{
    return m_upstreams;
}

prometheus::Gauge &ForwardingMetrics::activeRequests()
{
    return m_activeRequests;
}

prometheus::Gauge &ForwardingMetrics::waitingPlacementRequests()
{
    return m_waitingPlacementRequests;
}

void ForwardingMetrics::setLeavingShare(const std::string &service, const std::string &dataCentre, const std::string &kind, double share)
{
    m_leavingShare.Add({{"service", service}, {"data_centre", dataCentre}, {"kind", kind}}).Set(share);
}

prometheus::Gauge &ForwardingMetrics::unknownRequests()
{
    return m_unknownRequests;
}

prometheus::Gauge &ForwardingMetrics::slowUpstreams()
{
    return m_slowUpstreams;
}

}
