#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class PrefillRateMeter
 * \brief Measures an upstream's prefill rate from completed prompts and the time with prompts in prefill.
 *
 * A sample ends when no prompt is left in prefill, or when the completed tokens are four times those in prefill, so that
 * partly finished prompts distort it by at most a quarter. Samples decay with busy time.
 */
class PrefillRateMeter
{
public:
    /// The tokens in prefill changed at \p now to \p inPrefill.
    void changed(TimePoint now, std::uint64_t inPrefill);

    /// \p tokens reached their first token; call before changed().
    void completed(std::uint64_t tokens);

    /// A prompt left prefill without a first token; the running sample is void. Call before changed().
    void abandoned();

    /// Tokens per second; 0 before the first sample.
    double rate() const;

private:
    TimePoint m_last;
    std::uint64_t m_inPrefill = 0;
    double m_tokens = 0;
    Seconds m_busy{0};
    bool m_void = false;
    double m_meanTokens = 0;
    Seconds m_meanBusy{0};
};

}
