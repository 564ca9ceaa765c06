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
    slot.minimum = std::min(slot.minimum, value);
    slot.maximum = std::max(slot.maximum, value);
    slot.last = value;
}

std::uint32_t CountWindow::minimum(TimePoint since) const
{
    std::uint32_t result = m_slots.empty() ? 0 : m_slots.back().last;
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend(); ++slot) {
        result = std::min(result, slot->minimum);
        if (slot->start < since) {
            return result;
        }
    }
    return 0;
}

std::uint32_t CountWindow::maximum(TimePoint since) const
{
    std::uint32_t result = 0;
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend(); ++slot) {
        result = std::max(result, slot->maximum);
        if (slot->start < since) {
            break;
        }
    }
    return result;
}

}
