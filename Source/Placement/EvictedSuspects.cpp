#include "Placement/EvictedSuspects.h"

#include <cstddef>
#include <utility>

namespace Mangofall::Placement {

namespace {

// A power of two, so that the low bits of the suspect, which is a hash, select the slot.
constexpr std::size_t slotCount = std::size_t{1} << 18U;

}

void EvictedSuspects::add(SuspectId suspect, CrashId crash)
{
    m_slots.resize(slotCount);
    m_slots[suspect % slotCount] = {suspect, crash};
}

std::optional<CrashId> EvictedSuspects::take(SuspectId suspect)
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    Slot &slot = m_slots[suspect % slotCount];
    if (slot.suspect != suspect || slot.crash == 0) {
        return std::nullopt;
    }
    return std::exchange(slot, Slot()).crash;
}

}
