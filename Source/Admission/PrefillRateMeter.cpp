#include "Admission/PrefillRateMeter.h"

#include <cmath>

namespace Mangofall {

namespace {

constexpr Seconds decayTime{20};
// Samples of fewer tokens measure the fixed cost of a request rather than the rate.
constexpr double minSampleTokens = 256;
constexpr double minCompletedRatio = 4;

}

void PrefillRateMeter::updateTokensInPrefill(TimePoint now, std::uint64_t tokensInPrefill)
{
    if (m_tokensInPrefill > 0) {
        m_sampleBusyTime += now - m_lastUpdate;
    }
    m_lastUpdate = now;
    m_tokensInPrefill = tokensInPrefill;
    const bool sampleEnds = m_sampleTokens >= minSampleTokens && m_sampleTokens >= minCompletedRatio * static_cast<double>(tokensInPrefill);
    if (m_sampleInvalid || sampleEnds) {
        if (!m_sampleInvalid && m_sampleBusyTime > Seconds::zero()) {
            const double decay = std::exp(-(m_sampleBusyTime / decayTime));
            m_decayedTokens = m_decayedTokens * decay + m_sampleTokens;
            m_decayedBusyTime = m_decayedBusyTime * decay + m_sampleBusyTime;
        }
        m_sampleInvalid = false;
        m_sampleTokens = 0;
        m_sampleBusyTime = Seconds::zero();
    }
}

void PrefillRateMeter::recordCompletion(std::uint64_t tokens)
{
    m_sampleTokens += static_cast<double>(tokens);
}

void PrefillRateMeter::discardSample()
{
    m_sampleInvalid = true;
}

double PrefillRateMeter::rate() const
{
    return m_decayedBusyTime > Seconds::zero() ? m_decayedTokens / m_decayedBusyTime.count() : 0;
}

}
