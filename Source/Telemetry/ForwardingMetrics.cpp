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
    , m_heldSuspects(registerGauge(*m_registry, "mangofall_held_suspects", "Requests and parts of prompts held back because they appear to crash upstreams."))
    , m_viewAge(registerGauge(*m_registry, "mangofall_view_age_seconds", "Time since the store last answered, directly or through other hosts."))
    , m_viewRevision(registerGauge(*m_registry, "mangofall_view_revision", "Revision of the store up to which this host knows all changes."))
    , m_viewFollowsPeer(registerGauge(*m_registry, "mangofall_view_follows_peer", "1 if the last answer came from another host, 0 if from the store."))
    , m_feedConnections(registerGauge(*m_registry, "mangofall_feed_connections", "Hosts that are connected to read the changes of the store here."))
    , m_configurationVersion(registerGauge(*m_registry, "mangofall_configuration_version", "Version of the configuration in force on this host."))
    , m_liveHosts(registerGauge(*m_registry, "mangofall_live_hosts", "Hosts that this host considers alive."))
    , m_upstreams(registerGauge(*m_registry, "mangofall_upstreams", "Upstreams that this host knows of."))
    , m_activeRequests(registerGauge(*m_registry, "mangofall_active_requests", "Requests of callers in progress on this host."))
    , m_waitingPlacementRequests(
          registerGauge(*m_registry, "mangofall_waiting_demands", "Placement requests from all hosts that wait at this host for an upstream."))
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

void ForwardingMetrics::countFeedBytes(std::size_t bytes)
{
    m_feedBytes.Add({}).Increment(static_cast<double>(bytes));
}

prometheus::Gauge &ForwardingMetrics::heldSuspects()
{
    return m_heldSuspects;
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

}
