#include "Telemetry/Metrics.h"

#include "Telemetry/MetricFamilies.h"

#include <prometheus/text_serializer.h>

namespace Mangofall {

namespace {

using prometheus::BuildHistogram;

const prometheus::Histogram::BucketBoundaries firstTokenBucketsSeconds = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.3, 2, 5, 10, 30, 60, 120, 300};

}

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_answers(registerCounterFamily(*m_registry, "mangofall_answers_total", "Answers to callers by error kind."))
    , m_firstToken(BuildHistogram().Name("mangofall_first_token_seconds").Help("Time to first token by length class.").Register(*m_registry))
    , m_upstreamStateChanges(registerCounterFamily(*m_registry, "mangofall_upstream_state_changes_total", "Upstream state changes by new state."))
    , m_retries(registerCounterFamily(*m_registry, "mangofall_retries_total", "Retries and resumed streams of model requests, by reason."))
    , m_storeCalls(registerCounterFamily(*m_registry, "mangofall_store_calls_total", "Calls to the platform's store by kind and result."))
    , m_orders(registerCounterFamily(*m_registry, "mangofall_orders_total", "Non-idempotent calls by final state."))
    , m_peerSentBytes(registerCounterFamily(*m_registry, "mangofall_peer_sent_bytes_total", "Bytes sent to peers by connection purpose."))
    , m_capExcessRequests(registerCounterFamily(*m_registry,
                                                "mangofall_cap_excess_requests_total",
                                                "Requests found running beyond an upstream's cap after a change of dispatcher.")
                              .Add({}))
    , m_staleAnswers(registerCounterFamily(*m_registry, "mangofall_stale_answers_total", "Answers dropped because they carry another attempt's id.").Add({}))
    , m_configurationRevision(registerGauge(*m_registry, "mangofall_configuration_revision", "Revision of the configuration in force on this host."))
    , m_liveHosts(registerGauge(*m_registry, "mangofall_live_hosts", "Hosts that this host considers alive."))
    , m_activeSessions(registerGauge(*m_registry, "mangofall_active_sessions", "Requests of callers in progress on this host."))
{
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Counter &Metrics::answers(const std::string &kind)
{
    return m_answers.Add({{"kind", kind}});
}

prometheus::Histogram &Metrics::firstToken(const std::string &lengthClass)
{
    return m_firstToken.Add({{"length_class", lengthClass}}, firstTokenBucketsSeconds);
}

prometheus::Counter &Metrics::capExcessRequests()
{
    return m_capExcessRequests;
}

prometheus::Counter &Metrics::upstreamStateChanges(const std::string &state)
{
    return m_upstreamStateChanges.Add({{"state", state}});
}

prometheus::Counter &Metrics::staleAnswers()
{
    return m_staleAnswers;
}

prometheus::Counter &Metrics::retries(const std::string &reason)
{
    return m_retries.Add({{"reason", reason}});
}

prometheus::Counter &Metrics::storeCalls(const std::string &kind, const std::string &result)
{
    return m_storeCalls.Add({{"kind", kind}, {"result", result}});
}

prometheus::Counter &Metrics::orders(const std::string &state)
{
    return m_orders.Add({{"state", state}});
}

prometheus::Gauge &Metrics::configurationRevision()
{
    return m_configurationRevision;
}

prometheus::Gauge &Metrics::liveHosts()
{
    return m_liveHosts;
}

prometheus::Gauge &Metrics::activeSessions()
{
    return m_activeSessions;
}

prometheus::Counter &Metrics::peerSentBytes(const std::string &purpose)
{
    return m_peerSentBytes.Add({{"purpose", purpose}});
}

}
