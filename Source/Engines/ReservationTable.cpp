#include "Engines/ReservationTable.h"

namespace Mangofall {

ReservationTable::ReservationTable(std::uint64_t memoryTokens, TimePoint start, ReservationLimits limits)
    : m_memoryTokens(memoryTokens)
    , m_newReservationsFrom(start + limits.validity)
    , m_limits(limits)
{
}

ReservationActions ReservationTable::handle(const ReserveMemory &event, TimePoint now)
{
    ReservationActions actions;
    releaseExpired(now, actions);
    const auto found = m_reservations.find(event.owner);
    const std::uint64_t previousTokens = found == m_reservations.end() ? 0 : found->second.tokens;
    const bool mayGrant = found != m_reservations.end() || event.isRenewal || now >= m_newReservationsFrom;
    if (!mayGrant || event.tokens > m_memoryTokens - (m_reservedTokens - previousTokens)) {
        actions.emplace_back(ReservationAnswered{event.owner, false, {}});
        return actions;
    }
    Reservation &reservation = m_reservations[event.owner];
    reservation.tokens = event.tokens;
    reservation.expiry = now + m_limits.validity;
    m_reservedTokens += event.tokens - previousTokens;
    actions.emplace_back(ReservationAnswered{event.owner, true, reservation.expiry});
    return actions;
}

ReservationActions ReservationTable::handle(const ReleaseMemory &event, TimePoint now)
{
    ReservationActions actions;
    release(event.owner, actions);
    releaseExpired(now, actions);
    return actions;
}

ReservationActions ReservationTable::handle(const BlockAdded &event, TimePoint now)
{
    ReservationActions actions;
    releaseExpired(now, actions);
    const auto found = m_reservations.find(event.block.owner);
    if (found == m_reservations.end()) {
        // The owner's reservation was released or expired while the engine ran the step.
        actions.emplace_back(FreeBlock{event.block});
    } else {
        found->second.blocks.push_back(event.block);
    }
    return actions;
}

ReservationActions ReservationTable::handle(const ReservationTick &, TimePoint now)
{
    ReservationActions actions;
    releaseExpired(now, actions);
    return actions;
}

std::uint64_t ReservationTable::reservedTokens() const
{
    return m_reservedTokens;
}

std::unordered_set<AttemptId> ReservationTable::owners() const
{
    std::unordered_set<AttemptId> owners;
    for (const auto &[owner, reservation] : m_reservations) {
        owners.insert(owner);
    }
    return owners;
}

void ReservationTable::release(const AttemptId &owner, ReservationActions &actions)
{
    const auto found = m_reservations.find(owner);
    if (found == m_reservations.end()) {
        return;
    }
    for (const KvBlock &block : found->second.blocks) {
        actions.emplace_back(FreeBlock{block});
    }
    m_reservedTokens -= found->second.tokens;
    m_reservations.erase(found);
}

void ReservationTable::releaseExpired(TimePoint now, ReservationActions &actions)
{
    std::vector<AttemptId> expired;
    for (const auto &[owner, reservation] : m_reservations) {
        if (now >= reservation.expiry) {
            expired.push_back(owner);
        }
    }
    for (const AttemptId &owner : expired) {
        release(owner, actions);
    }
}

}
