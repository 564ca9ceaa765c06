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
 * \brief A caller's non-idempotent call, from its entry thread to the control thread.
 */
struct OrderSubmission {
    RequestId caller;
    OrderKey key;
    OrganisationId organisation;
    RouteSpec route;
    UpstreamId upstream; ///< Gets the order if this call makes the claim.
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string traceParent;
    TimePoint deadline;
};

/**
 * \class OrderAnswer
 * \brief The outcome of an order, or why there is none.
 */
struct OrderAnswer {
    ErrorKind error = ErrorKind::None;
    bool notRun = false;
    int httpStatus = 0; ///< Set if error is None.
    std::string contentType;
    std::string body;
};

/**
 * \class ControlGateway
 * \brief What traffic threads ask of the control thread; every call may come from any thread.
 */
class ControlGateway
{
public:
    virtual ~ControlGateway() = default;

    /// \p answered is called on the control thread; the caller moves on to its own thread.
    virtual void submitOrder(OrderSubmission &&order, std::function<void(OrderAnswer)> answered) = 0;

    /// A dispatcher of this host gives up its upstream; the message goes to the next dispatcher.
    virtual void sendHandOver(const HandOverMessage &message) = 0;

    /// Loads of this host's dispatchers, for heartbeats.
    virtual void reportLoads(std::size_t worker, std::vector<LoadSummary> loads) = 0;

    virtual void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) = 0;

    /// A traffic connection to \p host failed or made no progress.
    virtual void linkBroken(const HostId &host) = 0;

    /// Sessions and dispatched attempts in progress on \p worker, and the latest deadline among them; for graceful stops.
    virtual void reportActivity(std::size_t worker, std::size_t sessions, std::size_t attempts, TimePoint latestDeadline) = 0;
};

}
