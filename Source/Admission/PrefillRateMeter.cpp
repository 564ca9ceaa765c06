#include "Admission/PrefillRateMeter.h"

#include <cmath>

namespace Mangofall {

namespace {

constexpr Seconds memory{20};
// Shorter samples measure the fixed cost of a request and not the rate.
constexpr double minTokens = 256;
constexpr double partialWorkRatio = 4;

}

void PrefillRateMeter::changed(TimePoint now, std::uint64_t inPrefill)
{
    if (m_inPrefill > 0) {
        m_busy += now - m_last;
    }
    m_last = now;
    m_inPrefill = inPrefill;
    const bool ends = m_tokens >= minTokens && m_tokens >= partialWorkRatio * static_cast<double>(inPrefill);
    if (m_void || ends) {
        if (!m_void && m_busy > Seconds::zero()) {
            const double factor = std::exp(-(m_busy / memory));
            m_meanTokens = m_meanTokens * factor + m_tokens;
            m_meanBusy = m_meanBusy * factor + m_busy;
        }
        m_void = false;
        m_tokens = 0;
        m_busy = Seconds::zero();
    }
}

void PrefillRateMeter::completed(std::uint64_t tokens)
{
    m_tokens += static_cast<double>(tokens);
}

void PrefillRateMeter::abandoned()
{
    m_void = true;
}

double PrefillRateMeter::rate() const
{
    return m_meanBusy > Seconds::zero() ? m_meanTokens / m_meanBusy.count() : 0;
}

}
