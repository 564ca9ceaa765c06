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
 * \brief Counters, gauges and latency histograms of the forwarding path; the name of each metric states its unit.
 */
class ForwardingMetrics
{
public:
    ForwardingMetrics();

    /// All metrics in the Prometheus text format.
    std::string text() const;
    /// The registry, for metrics of single parts.
    prometheus::Registry &registry();

    /// Records an upstream's answer that was delivered to the caller \p elapsed after the request arrived.
    void recordAnswer(const std::string &route, unsigned status, Duration elapsed);
    /// Records the first event of a stream, relayed to the caller \p elapsed after the request arrived.
    void recordFirstEvent(const std::string &route, Duration elapsed);
    /// Records an error answer of Mangofall itself; \p kind is the name of its error kind, with the prefix "stream_" if it ended a started stream.
    void recordRefusal(const std::string &route, const std::string &kind);
    /// Records that a request is retried, or that the retry budget refused the retry (\p reason "budget spent").
    void recordRetry(const std::string &reason);

    /// Sets the share, between 0 and 1, of a data centre's requests that leave it, as this host decides it as owner (\p kind "decided") and has granted it
    /// ("observed").
    void setLeavingShare(const std::string &service, const std::string &dataCentre, const std::string &kind, double share);

    /// Counts a call to the store; \p kind is "range", "watch", "lease", "renew", "end_lease" or "write".
    void countStoreCall(const std::string &kind);
    /// Counts bytes sent to other hosts to pass on changes of the store.
    void countFeedBytes(std::size_t bytes);

    /// Counts a configuration that was refused because of errors.
    void countRefusedConfiguration();

    /// Suspects whose requests are held back because they appear to crash upstreams.
    prometheus::Gauge &heldSuspects();
    /// Memory that the bodies of requests in progress take.
    prometheus::Gauge &requestBytes();
    /// Memory that the answers in progress take until they are passed on.
    prometheus::Gauge &answerBytes();
    prometheus::Gauge &viewAge();
    prometheus::Gauge &viewRevision();
    prometheus::Gauge &viewFollowsPeer();
    prometheus::Gauge &feedConnections();
    prometheus::Gauge &storeEra();
    prometheus::Gauge &storeEraAge();
    /// Keys of which this host keeps an item against the one that the store holds since it was restored.
    prometheus::Gauge &heldStoreItems();
    prometheus::Gauge &configurationVersion();
    prometheus::Gauge &liveHosts();
    /// Hosts without an entry in the store that are kept because they answer their peers.
    prometheus::Gauge &unlistedHosts();
    /// Whether this host declines to place requests as owner.
    prometheus::Gauge &ownershipDeclined();
    prometheus::Gauge &upstreams();
    prometheus::Gauge &activeRequests();
    /// Placement requests that wait at this host, the owner of their services.
    prometheus::Gauge &waitingPlacementRequests();
    /// Requests that upstreams run beyond the grants of this host as owner.
    prometheus::Gauge &unknownRequests();
    /// Upstreams that this host, as owner, takes to be slower than the others of their service.
    prometheus::Gauge &slowUpstreams();

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_feedBytes;
    prometheus::Family<prometheus::Histogram> &m_answerTime;
    prometheus::Family<prometheus::Histogram> &m_firstEvent;
    prometheus::Family<prometheus::Counter> &m_refusedConfigurations;
    prometheus::Gauge &m_heldSuspects;
    prometheus::Gauge &m_requestBytes;
    prometheus::Gauge &m_answerBytes;
    prometheus::Gauge &m_viewAge;
    prometheus::Gauge &m_viewRevision;
    prometheus::Gauge &m_viewFollowsPeer;
    prometheus::Gauge &m_feedConnections;
    prometheus::Gauge &m_storeEra;
    prometheus::Gauge &m_storeEraAge;
    prometheus::Gauge &m_heldStoreItems;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_liveHosts;
    prometheus::Gauge &m_unlistedHosts;
    prometheus::Gauge &m_ownershipDeclined;
    prometheus::Gauge &m_upstreams;
    prometheus::Gauge &m_activeRequests;
    prometheus::Gauge &m_waitingPlacementRequests;
    prometheus::Family<prometheus::Gauge> &m_leavingShare;
    prometheus::Gauge &m_unknownRequests;
    prometheus::Gauge &m_slowUpstreams;
};

}
