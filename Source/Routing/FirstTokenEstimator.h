#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/RequestProfile.h"
#include "Routing/UpstreamView.h"

#include <cstdint>
#include <unordered_map>

namespace Mangofall {

/**
 * \class FirstTokenEstimator
 * \brief Predicts the time to first token and the token count of a prompt from measurements of earlier requests.
 *
 * The prefill rate is the one that the dispatcher reports, else the mean measured for the upstream and model, else the mean measured for the model at all
 * upstreams, else a fixed initial value.
 */
class FirstTokenEstimator
{
public:
    /// Updates the prefill rate of \p upstream with a prompt of \p uncachedTokens whose prefill took \p prefill, without the wait for other prompts.
    void observePrefill(const UpstreamId &upstream, const ModelId &model, std::uint64_t uncachedTokens, Duration prefill);

    /// Updates the bytes per token of \p model with a prompt of \p bytes that the engine counted as \p tokens.
    void observePromptSize(const ModelId &model, std::uint64_t bytes, std::uint64_t tokens);

    /// Discards the measured rates of \p upstream, for example because it restarted.
    void forget(const UpstreamId &upstream);

    /// Estimated prefill rate of \p model at \p view, in tokens per second.
    double prefillRate(const UpstreamView &view, const ModelId &model) const;

    /// Estimated tokens of a prompt of \p bytes; at least 1 for a prompt that is not empty.
    std::uint64_t estimateTokens(const ModelId &model, std::uint64_t bytes) const;

    /// Estimated time until the first token of \p request at \p view: prefill of the prompts that run before it, wait for a request slot, and its own prefill.
    Seconds timeToFirstToken(const RequestProfile &request, const UpstreamView &view) const;

    /// Estimated prefill time of the uncached tokens of \p request, without any wait.
    Seconds prefillTime(const RequestProfile &request, const UpstreamView &view) const;

private:
    using RatePerModel = std::unordered_map<ModelId, double>;

    std::unordered_map<UpstreamId, RatePerModel> m_upstreamRates; ///< Tokens per second.
    RatePerModel m_modelRates; ///< Tokens per second, over all upstreams.
    std::unordered_map<ModelId, double> m_bytesPerToken;
};

}
