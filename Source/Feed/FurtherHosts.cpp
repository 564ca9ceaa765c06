#include "Feed/FurtherHosts.h"

#include <algorithm>
#include <random>

namespace Mangofall::Feed {

namespace {

// Changes have to be known within two seconds, so that several hosts are asked within that time.
constexpr std::chrono::milliseconds basePause{60};
// While the store is away for all hosts, each of them asks another one less than once a second, and none of the answers is of use.
constexpr std::chrono::milliseconds maxPause{1600};
constexpr unsigned maxDoublings = 5;
// Pauses are spread from this fraction of their length to their full length.
constexpr double minSpread = 0.6;

}

FurtherHosts::FurtherHosts(RandomEngine random)
    : m_random(random)
{
}

void FurtherHosts::setHosts(std::vector<HostId> hosts)
{
    std::sort(hosts.begin(), hosts.end());
    if (hosts == m_sorted) {
        return;
    }
    const HostId current = m_order.empty() ? HostId() : m_order[m_position];
    m_sorted = std::move(hosts);
    m_order = m_sorted;
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    m_position = 0;
    const auto kept = std::find(m_order.begin(), m_order.end(), current);
    if (kept != m_order.end()) {
        std::iter_swap(m_order.begin(), kept);
    }
}

bool FurtherHosts::contains(const HostId &host) const
{
    return std::binary_search(m_sorted.begin(), m_sorted.end(), host);
}

std::optional<FurtherHosts::Choice> FurtherHosts::next() const
{
    return m_order.empty() ? std::nullopt : std::optional<Choice>({m_order[m_position], m_notBefore});
}

void FurtherHosts::answered()
{
    m_failures = 0;
    m_notBefore = TimePoint();
}

void FurtherHosts::failed(TimePoint now)
{
    const Duration longest = std::min<Duration>(maxPause, basePause * (1U << std::min(m_failures, maxDoublings)));
    const double spread = std::uniform_real_distribution<double>(minSpread, 1)(m_random);
    m_notBefore = now + std::chrono::duration_cast<Duration>(longest * spread);
    ++m_failures;
    m_position = (m_position + 1) % m_order.size();
}

}
