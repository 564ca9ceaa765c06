#pragma once

#include "Placement/GrantOutcome.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementRequest.h"

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
    virtual Placement::PlacementRequestId nextId() = 0;

    /// Calls \p handler once, possibly from within the call, unless ended() comes first.
    virtual void submit(const Placement::PlacementRequest &placementRequest, Handler handler) = 0;

    /// The first piece of the answer came.
    virtual void firstEventReceived(const Placement::PlacementRequestId &id) = 0;

    /// The place is not used any more, or the caller left before there was one.
    virtual void ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty) = 0;
};

}
