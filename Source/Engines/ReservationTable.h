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

/// Event: an attempt asks for memory, or renews what it has.
struct ReserveMemory {
    AttemptId owner;
    std::uint64_t tokens = 0;
    bool isRenewal = false; ///< The owner got this reservation before, maybe from a former dispatcher.
};

/// Event: an attempt needs its memory no more.
struct ReleaseMemory {
    AttemptId owner;
};

/// Event: the engine holds a new block for an attempt.
struct BlockAdded {
    KvBlock block;
};

/// Event: time passes.
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
 * \brief Memory of one engine reserved per attempt, kept by the engine's dispatcher; every entry expires.
 *
 * A new dispatcher does not know its predecessor's reservations. For one validity it accepts renewals only, so that it
 * never promises memory that a living owner still holds.
 */
class ReservationTable
{
public:
    /// \p memoryTokens is the engine's KV memory; \p start is when this dispatcher took over.
    ReservationTable(std::uint64_t memoryTokens, TimePoint start, ReservationLimits limits);

    ReservationActions handle(const ReserveMemory &event, TimePoint now);
    ReservationActions handle(const ReleaseMemory &event, TimePoint now);
    ReservationActions handle(const BlockAdded &event, TimePoint now);
    ReservationActions handle(const ReservationTick &event, TimePoint now);

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
    TimePoint m_grantsFrom;
    ReservationLimits m_limits;
    std::uint64_t m_reservedTokens = 0;
    std::unordered_map<AttemptId, Reservation> m_reservations;
};

}
