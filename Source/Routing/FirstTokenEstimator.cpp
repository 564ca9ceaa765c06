#include "Routing/FirstTokenEstimator.h"

#include <algorithm>
#include <cmath>

namespace Mangofall {

namespace {

// A sample moves the mean by a tenth, so a rate that changed is learned within some twenty prompts.
constexpr double gain = 0.1;
// Start values; each is replaced by the first measurement.
constexpr double startRate = 10'000;
constexpr double startBytesPerToken = 4;
// Shorter prompts measure the fixed cost of a request and not the rate.
constexpr std::uint64_t minRateTokens = 256;

void learn(std::unordered_map<ModelId, double> &means, const ModelId &model, double sample)
{
    const auto [entry, inserted] = means.try_emplace(model, sample);
    if (!inserted) {
        entry->second += gain * (sample - entry->second);
    }
}

}

void FirstTokenEstimator::observePrefill(const UpstreamId &upstream, const ModelId &model, std::uint64_t uncachedTokens, Duration prefill)
{
    if (uncachedTokens < minRateTokens || prefill <= Duration::zero()) {
        return;
    }
    const double sample = static_cast<double>(uncachedTokens) / Seconds(prefill).count();
    learn(m_rates[upstream], model, sample);
    learn(m_modelRates, model, sample);
}

void FirstTokenEstimator::observePromptSize(const ModelId &model, std::uint64_t bytes, std::uint64_t tokens)
{
    if (bytes > 0 && tokens > 0) {
        learn(m_bytesPerToken, model, static_cast<double>(bytes) / static_cast<double>(tokens));
    }
}

void FirstTokenEstimator::forget(const UpstreamId &upstream)
{
    m_rates.erase(upstream);
}

double FirstTokenEstimator::prefillRate(const UpstreamView &view, const ModelId &model) const
{
    if (view.prefillRate > 0) {
        return view.prefillRate;
    }
    if (const auto upstream = m_rates.find(view.id); upstream != m_rates.end()) {
        if (const auto own = upstream->second.find(model); own != upstream->second.end()) {
            return own->second;
        }
    }
    const auto mean = m_modelRates.find(model);
    return mean == m_modelRates.end() ? startRate : mean->second;
}

std::uint64_t FirstTokenEstimator::estimateTokens(const ModelId &model, std::uint64_t bytes) const
{
    const auto ratio = m_bytesPerToken.find(model);
    const double bytesPerToken = ratio == m_bytesPerToken.end() ? startBytesPerToken : ratio->second;
    return static_cast<std::uint64_t>(std::ceil(static_cast<double>(bytes) / bytesPerToken));
}

Seconds FirstTokenEstimator::prefillTime(const RequestProfile &request, const UpstreamView &view) const
{
    const std::uint64_t uncached = request.promptTokens - std::min(request.promptTokens, view.cachedTokens);
    return Seconds(static_cast<double>(uncached) / prefillRate(view, request.model));
}

Seconds FirstTokenEstimator::timeToFirstToken(const RequestProfile &request, const UpstreamView &view) const
{
    std::uint64_t ahead = view.totalPrefillTokens();
    if (request.lengthClass != LengthClass::Long) {
        // Engines run short and medium prompts before long ones.
        ahead -= view.prefillTokens(LengthClass::Long);
    }
    const Seconds wait(static_cast<double>(ahead) / prefillRate(view, request.model));
    const std::uint32_t requests = view.inFlightRequests + view.queuedRequests;
    Seconds slotWait{0};
    if (view.requestCap > 0 && requests >= view.requestCap) {
        slotWait = view.residence * (static_cast<double>(requests - view.requestCap + 1) / view.requestCap);
    }
    return wait + slotWait + prefillTime(request, view);
}

}
