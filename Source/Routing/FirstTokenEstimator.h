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
 * \brief Predicts the time to first token and the token count of a prompt from what earlier requests measured.
 *
 * A prefill rate reported by the dispatcher takes precedence, then the rate learned for the upstream and model, then the
 * mean of the model's other upstreams, then a fixed start value.
 */
class FirstTokenEstimator
{
public:
    /// Learns the rate of \p upstream from \p uncachedTokens that took \p prefill without waiting for other prompts.
    void observePrefill(const UpstreamId &upstream, const ModelId &model, std::uint64_t uncachedTokens, Duration prefill);

    /// Learns the bytes per token of \p model from a measured prompt.
    void observePromptSize(const ModelId &model, std::uint64_t bytes, std::uint64_t tokens);

    /// Drops what is known about \p upstream's rate, for example because it restarted.
    void forget(const UpstreamId &upstream);

    /// Tokens per second.
    double prefillRate(const UpstreamView &view, const ModelId &model) const;

    /// At least 1 for a prompt that is not empty.
    std::uint64_t estimateTokens(const ModelId &model, std::uint64_t bytes) const;

    /// Time until \p request's first token at \p view: work that goes first, uncached tokens, and waiting for a slot.
    Seconds timeToFirstToken(const RequestProfile &request, const UpstreamView &view) const;

    /// Time for the uncached tokens of \p request alone.
    Seconds prefillTime(const RequestProfile &request, const UpstreamView &view) const;

private:
    using RatePerModel = std::unordered_map<ModelId, double>;

    std::unordered_map<UpstreamId, RatePerModel> m_upstreamRates; ///< Tokens per second.
    RatePerModel m_modelRates;
    std::unordered_map<ModelId, double> m_bytesPerToken;
};

}
