#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace Mangofall {

/**
 * \class Metrics
 * \brief The daemon's metrics; every name carries its unit.
 *
 * Counters and gauges are atomic and may be used from any thread.
 */
class Metrics
{
public:
    Metrics();

    /// The registry in the Prometheus text format.
    std::string text() const;

    /// Answers to callers, by error kind ("none" for success).
    prometheus::Counter &answers(const std::string &kind);

    /// Time to first token by length class, in seconds.
    prometheus::Histogram &firstToken(const std::string &lengthClass);

    /// Sends beyond the cap that are possible after a dispatcher change, counted when a hand-over arrives late.
    prometheus::Counter &capExcessRequests();

    /// Upstream state changes by new state.
    prometheus::Counter &upstreamStateChanges(const std::string &state);

    /// Answers dropped because they carry another attempt's id.
    prometheus::Counter &staleAnswers();

    /// Retries and resumes of model requests by reason.
    prometheus::Counter &retries(const std::string &reason);

    /// Store calls by kind and result.
    prometheus::Counter &storeCalls(const std::string &kind, const std::string &result);

    /// Orders by final state.
    prometheus::Counter &orders(const std::string &state);

    prometheus::Gauge &configurationRevision();
    prometheus::Gauge &liveHosts();
    prometheus::Gauge &activeSessions();

    /// Bytes sent to peers by connection purpose ("control" or "traffic").
    prometheus::Counter &peerSentBytes(const std::string &purpose);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Histogram> &m_firstToken;
    prometheus::Family<prometheus::Counter> &m_upstreamStates;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_peerBytes;
    prometheus::Counter &m_capExcess;
    prometheus::Counter &m_staleAnswers;
    prometheus::Gauge &m_configurationRevision;
    prometheus::Gauge &m_liveHosts;
    prometheus::Gauge &m_activeSessions;
};

}
