#include "Forwarding/AnswerSizes.h"

namespace Mangofall::Forwarding {

namespace {

// Weight of the newest answer in the mean: about the last 32 answers count.
constexpr double newestWeight = 1.0 / 32;
// Text of a token with its part of an event; used until the first answer of a service is complete.
constexpr std::uint64_t bytesPerToken = 8;

}

void AnswerSizes::record(const ServiceId &service, std::uint64_t bytes)
{
    const auto [mean, added] = m_means.try_emplace(service, static_cast<double>(bytes));
    if (!added) {
        mean->second += newestWeight * (static_cast<double>(bytes) - mean->second);
    }
}

std::uint64_t AnswerSizes::expected(const ServiceId &service, std::uint64_t outputTokens) const
{
    const auto mean = m_means.find(service);
    return mean == m_means.end() ? outputTokens * bytesPerToken : static_cast<std::uint64_t>(mean->second);
}

}
