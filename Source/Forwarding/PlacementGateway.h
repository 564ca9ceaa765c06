#pragma once

#include "Placement/Demand.h"
#include "Placement/PlacementActions.h"
#include "Placement/WorkOutcome.h"

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
    virtual Placement::DemandId nextId() = 0;

    /// Sends a placement request. Calls \p handler once, possibly before returning, unless ended() is called first.
    virtual void submit(const Placement::Demand &demand, Handler handler) = 0;

    /// Reports the first event of the answer.
    virtual void firstPiece(const Placement::DemandId &id) = 0;

    /// Releases the assignment, or withdraws the placement request if the caller left before there was one.
    virtual void ended(const Placement::DemandId &id, Placement::WorkOutcome outcome, const std::optional<UpstreamId> &faulty) = 0;
};

}
