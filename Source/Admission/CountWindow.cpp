#include "Admission/CountWindow.h"

#include <algorithm>

namespace Mangofall {

namespace {

constexpr Duration slotLength = std::chrono::milliseconds(100);

}

void CountWindow::record(TimePoint now, std::uint32_t value)
{
    while (m_slots.size() > 1 && m_slots[1].start + length < now) {
        m_slots.pop_front();
    }
    if (m_slots.empty() || now - m_slots.back().start >= slotLength) {
        const std::uint32_t before = m_slots.empty() ? 0 : m_slots.back().last;
        m_slots.push_back({now, std::min(before, value), std::max(before, value), value});
        return;
    }
    Slot &slot = m_slots.back();
    slot.least = std::min(slot.least, value);
    slot.greatest = std::max(slot.greatest, value);
    slot.last = value;
}

std::uint32_t CountWindow::least(TimePoint since) const
{
    std::uint32_t result = m_slots.empty() ? 0 : m_slots.back().last;
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend(); ++slot) {
        result = std::min(result, slot->least);
        if (slot->start < since) {
            return result;
        }
    }
    return 0;
}

std::uint32_t CountWindow::greatest(TimePoint since) const
{
    std::uint32_t result = 0;
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend(); ++slot) {
        result = std::max(result, slot->greatest);
        if (slot->start < since) {
            break;
        }
    }
    return result;
}

}
