#pragma once

#include "Placement/GrantOutcome.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementRequest.h"
#include "Placement/ReportedLoad.h"
#include "Placement/UpstreamNotice.h"

#include <functional>
#include <optional>
#include <variant>

namespace Mangofall::Forwarding {

/**
 * \class PlacementGateway
 * \brief Requests assignments for this host's requests, from this host or from another that owns the service.
 */
class PlacementGateway
{
public:
    using Answer = std::variant<Placement::Assignment, Placement::Refusal>;
    using Handler = std::function<void(Answer)>;

    PlacementGateway() = default;
    PlacementGateway(const PlacementGateway &) = delete;
    PlacementGateway &operator=(const PlacementGateway &) = delete;
    virtual ~PlacementGateway() = default;

    /// Returns the id for the next placement request.
    virtual Placement::PlacementRequestId nextId() = 0;

    /// Sends a placement request. Calls \p handler once, possibly before returning, unless ended() is called first.
    virtual void submit(const Placement::PlacementRequest &placementRequest, Handler handler) = 0;

    /// Reports that the first event of the answer has arrived, which ends the prefill.
    virtual void firstEventReceived(const Placement::PlacementRequestId &id) = 0;

    /// Reports what the assigned upstream says about itself in its answer.
    virtual void noticeReceived(const Placement::PlacementRequestId &id, const Placement::UpstreamNotice &notice) = 0;

    /// Keeps the load that the assigned upstream reports in its answer for the next report to the owner: that of the first event or of the end.
    virtual void loadReported(const Placement::PlacementRequestId &id, const Placement::ReportedLoad &load) = 0;

    /// Releases the assignment, or withdraws the placement request if there is no assignment yet.
    virtual void ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty) = 0;
};

}
