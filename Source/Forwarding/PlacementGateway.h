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
 * \brief Asks for places for requests, wherever that is decided.
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

    /// The id of the next demand.
    virtual Placement::DemandId nextId() = 0;

    /// Calls \p handler once, possibly from within the call, unless ended() comes first.
    virtual void submit(const Placement::Demand &demand, Handler handler) = 0;

    /// The first piece of the answer came.
    virtual void firstPiece(const Placement::DemandId &id) = 0;

    /// The place is not used any more, or the caller left before there was one.
    virtual void ended(const Placement::DemandId &id, Placement::WorkOutcome outcome, const std::optional<UpstreamId> &faulty) = 0;
};

}
