#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class PrefillRateMeter
 * \brief Measures an upstream's prefill rate: the tokens of completed prompts per time with prompts in prefill.
 *
 * A sample ends when no prompt is left in prefill, or when the completed tokens are at least four times those in prefill,
 * so that partly processed prompts distort it by at most a quarter. The weight of earlier samples decays with the time in
 * which prompts are in prefill.
 */
class PrefillRateMeter
{
public:
    /// Records that \p tokensInPrefill tokens are in prefill from \p now on.
    void updateTokensInPrefill(TimePoint now, std::uint64_t tokensInPrefill);

    /// Records that a prompt of \p tokens reached its first token. Call before updateTokensInPrefill().
    void recordCompletion(std::uint64_t tokens);

    /// Discards the current sample because a prompt left prefill without a first token. Call before updateTokensInPrefill().
    void discardSample();

    /// The measured rate in tokens per second; 0 before the first sample.
    double rate() const;

private:
    TimePoint m_lastUpdate;
    std::uint64_t m_tokensInPrefill = 0;
    double m_sampleTokens = 0;
    Seconds m_sampleBusyTime{0};
    bool m_sampleInvalid = false;
    double m_decayedTokens = 0;
    Seconds m_decayedBusyTime{0};
};

}
