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
 * \brief The metrics of `mangofalld`; the name of each metric states its unit.
 *
 * Counters and gauges are atomic, so any thread may use them.
 */
class Metrics
{
public:
    Metrics();

    /// All metrics in the Prometheus text format.
    std::string text() const;

    /// Answers to callers, by error kind ("none" for success).
    prometheus::Counter &answers(const std::string &kind);

    /// Time to first token in seconds, by length class.
    prometheus::Histogram &firstToken(const std::string &lengthClass);

    /// Requests that upstreams report beyond those known to their dispatcher. Such requests, sent beyond the cap, are possible after a change of dispatcher
    /// if the hand-over arrives late.
    prometheus::Counter &capExcessRequests();

    /// State changes of upstreams, by new state.
    prometheus::Counter &upstreamStateChanges(const std::string &state);

    /// Answers dropped because they carry another attempt's id.
    prometheus::Counter &staleAnswers();

    /// Retries and resumed streams of model requests, by reason.
    prometheus::Counter &retries(const std::string &reason);

    /// Calls to the platform's store, by kind and result.
    prometheus::Counter &storeCalls(const std::string &kind, const std::string &result);

    /// Orders, by final state.
    prometheus::Counter &orders(const std::string &state);

    prometheus::Gauge &configurationRevision();
    prometheus::Gauge &liveHosts();
    prometheus::Gauge &activeSessions();

    /// Bytes sent to peers, by purpose of the connection ("control" or "traffic").
    prometheus::Counter &peerSentBytes(const std::string &purpose);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Histogram> &m_firstToken;
    prometheus::Family<prometheus::Counter> &m_upstreamStateChanges;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_peerSentBytes;
    prometheus::Counter &m_capExcessRequests;
    prometheus::Counter &m_staleAnswers;
    prometheus::Gauge &m_configurationRevision;
    prometheus::Gauge &m_liveHosts;
    prometheus::Gauge &m_activeSessions;
};

}
