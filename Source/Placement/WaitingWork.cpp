#include "Placement/WaitingWork.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace Mangofall::Placement {

void WaitingWork::clear()
{
    m_work.fill(Duration::zero());
    m_empty = true;
}

void WaitingWork::add(Duration work)
{
    m_work[sizeClass(work)] += work;
    m_empty = false;
}

Duration WaitingWork::ahead(Duration work) const
{
    // The class of the given size and the next one count, so requests of up to about twice its size do.
    const std::size_t classes = std::min(sizeClass(work) + 2, sizeClasses);
    return std::accumulate(m_work.begin(), m_work.begin() + static_cast<std::ptrdiff_t>(classes), Duration::zero());
}

bool WaitingWork::empty() const
{
    return m_empty;
}

std::size_t WaitingWork::sizeClass(Duration work)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(work).count();
    const auto width = static_cast<std::size_t>(std::bit_width(static_cast<std::uint64_t>(std::max<decltype(milliseconds)>(milliseconds, 0))));
    return std::min(width, sizeClasses - 1);
}

}
