#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/PlacementRequest.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace Mangofall::Placement {

/// Why a reservation was given up before its start.
enum class ReservationDropCause {
    EngineLeft, ///< An engine is no longer listed, does not accept requests or was restarted.
    EngineUnavailable, ///< An engine failed or is cold.
    Delayed, ///< The engines become available later than planned.
    BetterPlan, ///< Other engines are available considerably earlier.
    Withdrawn, ///< The request was withdrawn or refused.
};

/// The cause as log lines and metrics name it.
std::string_view toString(ReservationDropCause cause);

/// Engines were reserved for a request.
struct ReservationMade {
    PlacementRequestId id;
    std::vector<UpstreamId> engines; ///< The first one answers.
    Duration untilStart{}; ///< From the reservation to the planned start.
};

/// A reservation was given up.
struct ReservationDropped {
    PlacementRequestId id;
    ReservationDropCause cause{};
};

using ReservationEvent = std::variant<ReservationMade, ReservationDropped>;
using ReservationEvents = std::vector<ReservationEvent>;

/// The reservations of one host, over its services. Totals count from the start of the process.
struct ReservationCounts {
    std::size_t reservations = 0; ///< Held now.
    std::size_t engines = 0; ///< Engines that are reserved now.
    std::uint64_t started = 0; ///< Prompts that started on reserved engines.
    std::uint64_t startedEarly = 0; ///< Those of them that started before the time planned first.
    std::uint64_t dropped = 0;

    ReservationCounts &operator+=(const ReservationCounts &other);
};

}
