#include "Routing/FirstTokenEstimator.h"

#include <algorithm>
#include <cmath>

namespace Mangofall {

namespace {

// Weight of a new sample in the exponential moving average: the mean follows a changed rate within about twenty prompts.
constexpr double smoothingFactor = 0.1;
// Values before any measurement, in tokens per second and bytes per token; the first measurement replaces them.
constexpr double initialPrefillRate = 10'000;
constexpr double initialBytesPerToken = 4;
// The prefill time of prompts with fewer tokens depends mostly on the fixed cost of a request, so they do not update the rate.
constexpr std::uint64_t minMeasurableTokens = 256;

void updateMean(std::unordered_map<ModelId, double> &means, const ModelId &model, double sample)
{
    const auto [entry, inserted] = means.try_emplace(model, sample);
    if (!inserted) {
        entry->second += smoothingFactor * (sample - entry->second);
    }
}

}

void FirstTokenEstimator::observePrefill(const UpstreamId &upstream, const ModelId &model, std::uint64_t uncachedTokens, Duration prefill)
{
    if (uncachedTokens < minMeasurableTokens || prefill <= Duration::zero()) {
        return;
    }
    const double sample = static_cast<double>(uncachedTokens) / Seconds(prefill).count();
    updateMean(m_upstreamRates[upstream], model, sample);
    updateMean(m_modelRates, model, sample);
}

void FirstTokenEstimator::observePromptSize(const ModelId &model, std::uint64_t bytes, std::uint64_t tokens)
{
    if (bytes > 0 && tokens > 0) {
        updateMean(m_bytesPerToken, model, static_cast<double>(bytes) / static_cast<double>(tokens));
    }
}

void FirstTokenEstimator::forget(const UpstreamId &upstream)
{
    m_upstreamRates.erase(upstream);
}

double FirstTokenEstimator::prefillRate(const UpstreamView &view, const ModelId &model) const
{
    if (view.prefillRate > 0) {
        return view.prefillRate;
    }
    if (const auto upstream = m_upstreamRates.find(view.id); upstream != m_upstreamRates.end()) {
        if (const auto modelRate = upstream->second.find(model); modelRate != upstream->second.end()) {
            return modelRate->second;
        }
    }
    const auto mean = m_modelRates.find(model);
    return mean == m_modelRates.end() ? initialPrefillRate : mean->second;
}

std::uint64_t FirstTokenEstimator::estimateTokens(const ModelId &model, std::uint64_t bytes) const
{
    const auto ratio = m_bytesPerToken.find(model);
    const double bytesPerToken = ratio == m_bytesPerToken.end() ? initialBytesPerToken : ratio->second;
    return static_cast<std::uint64_t>(std::ceil(static_cast<double>(bytes) / bytesPerToken));
}

Seconds FirstTokenEstimator::prefillTime(const RequestProfile &request, const UpstreamView &view) const
{
    const std::uint64_t uncached = request.promptTokens - std::min(request.promptTokens, view.cachedTokens);
    return Seconds(static_cast<double>(uncached) / prefillRate(view, request.model));
}

Seconds FirstTokenEstimator::timeToFirstToken(const RequestProfile &request, const UpstreamView &view) const
{
    std::uint64_t tokensAhead = view.totalPrefillTokens();
    if (request.lengthClass != LengthClass::Long) {
        // Engines prefill short and medium prompts before long ones.
        tokensAhead -= view.prefillTokens(LengthClass::Long);
    }
    const Seconds wait(static_cast<double>(tokensAhead) / prefillRate(view, request.model));
    const std::uint32_t requests = view.inFlightRequests + view.queuedRequests;
    Seconds slotWait{0};
    if (view.requestCap > 0 && requests >= view.requestCap) {
        slotWait = view.residence * (static_cast<double>(requests - view.requestCap + 1) / view.requestCap);
    }
    return wait + slotWait + prefillTime(request, view);
}

}
