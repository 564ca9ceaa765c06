#pragma once

#include "Admission/HandOverMessage.h"
#include "Admission/LoadSummary.h"
#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/RouteSpec.h"
#include "Routing/UpstreamState.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Mangofall {

/**
 * \class OrderSubmission
 * \brief A caller's non-idempotent request, passed from the traffic thread that received it to the control thread.
 */
struct OrderSubmission {
    RequestId caller;
    OrderKey key;
    OrganisationId organisation;
    RouteSpec route;
    UpstreamId upstream; ///< Receives the order if this request is the first to claim the key.
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string traceParent;
    TimePoint deadline;
};

/**
 * \class OrderAnswer
 * \brief The answer to an order, or the error that is returned instead.
 */
struct OrderAnswer {
    ErrorKind error = ErrorKind::None;
    bool notRun = false; ///< Whether it is certain that the order was not executed.
    int httpStatus = 0; ///< Set if error is None.
    std::string contentType;
    std::string body;
};

/**
 * \class ControlGateway
 * \brief Interface of the control thread for traffic threads; all functions are thread-safe.
 */
class ControlGateway
{
public:
    virtual ~ControlGateway() = default;

    /// \p answered is called on the control thread and must post to the thread that needs the answer.
    virtual void submitOrder(OrderSubmission &&order, std::function<void(OrderAnswer)> answered) = 0;

    /// Sends the hand-over message of a dispatcher of this host that loses its upstream to the host that dispatches the upstream now.
    virtual void sendHandOver(const HandOverMessage &message) = 0;

    /// Replaces the loads of the upstreams dispatched on \p worker; heartbeats carry them to other hosts.
    virtual void reportLoads(std::size_t worker, std::vector<LoadSummary> loads) = 0;

    /// Counts and logs a state change of \p upstream.
    virtual void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) = 0;

    /// A traffic connection to \p host failed or made no progress.
    virtual void linkBroken(const HostId &host) = 0;

    /// Reports the sessions and dispatched attempts in progress on \p worker and the latest deadline among them; a graceful shutdown waits for them.
    virtual void reportActivity(std::size_t worker, std::size_t sessions, std::size_t attempts, TimePoint latestDeadline) = 0;
};

}
