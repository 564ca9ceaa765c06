#pragma once

#include "Base/AttemptId.h"
#include "Base/Time.h"
#include "Engines/KvBlock.h"
#include "Engines/ReservationLimits.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Mangofall {

/// Event: an attempt asks for a memory reservation, or renews the one that it has.
struct ReserveMemory {
    AttemptId owner;
    std::uint64_t tokens = 0; ///< Memory to reserve, in tokens.
    bool isRenewal = false; ///< The owner was granted this reservation before, possibly by a former dispatcher.
};

/// Event: an attempt no longer needs its memory reservation.
struct ReleaseMemory {
    AttemptId owner;
};

/// Event: the engine added a block for an attempt.
struct BlockAdded {
    KvBlock block;
};

/// Event: periodic tick that releases expired reservations.
struct ReservationTick {
};

/// Action: answers ReserveMemory.
struct ReservationAnswered {
    AttemptId owner;
    bool granted = false;
    TimePoint expiry; ///< Set if granted.
};

/// Action: the engine must free this block.
struct FreeBlock {
    KvBlock block;
};

using ReservationAction = std::variant<ReservationAnswered, FreeBlock>;
using ReservationActions = std::vector<ReservationAction>;

/**
 * \class ReservationTable
 * \brief The memory reservations of the attempts at one engine, kept by its dispatcher; each expires unless renewed.
 *
 * A new dispatcher does not know its predecessor's reservations. For the validity of one reservation it grants renewals
 * only, so that it never grants memory that a live owner still has reserved.
 */
class ReservationTable
{
public:
    /// \p memoryTokens is the engine's KV memory, in tokens; \p start is when this dispatcher took over.
    ReservationTable(std::uint64_t memoryTokens, TimePoint start, ReservationLimits limits);

    ReservationActions handle(const ReserveMemory &event, TimePoint now);
    ReservationActions handle(const ReleaseMemory &event, TimePoint now);
    ReservationActions handle(const BlockAdded &event, TimePoint now);
    ReservationActions handle(const ReservationTick &event, TimePoint now);

    /// Sum of all reservations, in tokens.
    std::uint64_t reservedTokens() const;

    /// Attempts that have a reservation.
    std::unordered_set<AttemptId> owners() const;

private:
    struct Reservation {
        std::uint64_t tokens = 0;
        TimePoint expiry;
        std::vector<KvBlock> blocks;
    };

    void release(const AttemptId &owner, ReservationActions &actions);
    void releaseExpired(TimePoint now, ReservationActions &actions);

    std::uint64_t m_memoryTokens;
    TimePoint m_newReservationsFrom; ///< Only renewals are granted before this time.
    ReservationLimits m_limits;
    std::uint64_t m_reservedTokens = 0;
    std::unordered_map<AttemptId, Reservation> m_reservations;
};

}
