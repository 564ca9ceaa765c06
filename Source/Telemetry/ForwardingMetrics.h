#pragma once

#include "Base/Time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace Mangofall {

/**
 * \class ForwardingMetrics
 * \brief Counters and latency histograms of the forwarding path; every name carries its unit.
 */
class ForwardingMetrics
{
public:
    ForwardingMetrics();

    /// The registry in the Prometheus text format.
    std::string text() const;

    /// An upstream's answer was handed to the caller \p took after the request's arrival.
    void recordAnswer(const std::string &route, unsigned status, Duration took);
    void firstEvent(const std::string &route, Duration took);
    /// An answer of our own.
    void recordRefusal(const std::string &route, const std::string &kind);
    void recordRetry(const std::string &reason);

    prometheus::Gauge &configurationVersion();
    prometheus::Gauge &liveHosts();
    prometheus::Gauge &upstreams();
    prometheus::Gauge &activeRequests();
    prometheus::Gauge &waitingPlacementRequests();

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Histogram> &m_answerTime;
    prometheus::Family<prometheus::Histogram> &m_firstEvent;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_liveHosts;
    prometheus::Gauge &m_upstreams;
    prometheus::Gauge &m_activeRequests;
    prometheus::Gauge &m_waitingDemands;
};

}
