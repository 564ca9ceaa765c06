#include "Routing/EstimatedFirstTokenChooser.h"

#include "Routing/FirstTokenEstimator.h"
#include "Routing/LongShareAllocator.h"

#include <algorithm>
#include <random>

namespace Mangofall {

namespace {

// At shortWeight 1, a long prompt's estimate is multiplied by 1 plus this value at an upstream that is not designated for long prompts.
constexpr double overflowPenalty = 4;

using Candidates = std::vector<const UpstreamView *>;

bool fitsPrefillCap(const RequestProfile &request, const UpstreamView &view)
{
    const std::uint64_t uncached = request.promptTokens - std::min(request.promptTokens, view.cachedTokens);
    return uncached <= view.prefillCap;
}

bool servesClass(const RequestProfile &request, const UpstreamView &view)
{
    return request.lengthClass == LengthClass::Long || !view.designatedForLong || LongShareAllocator::hasNoLongWork(view);
}

/// Upstreams that accept requests, narrowed to those whose prefill cap fits the prompt and then to those that serve its length class. A step that would leave
/// no upstream is skipped.
Candidates eligibleCandidates(const RequestProfile &request, std::span<const UpstreamView> views)
{
    Candidates candidates;
    for (const UpstreamView &view : views) {
        if (acceptsWork(view.state)) {
            candidates.push_back(&view);
        }
    }
    const auto narrow = [&](auto predicate) {
        Candidates narrowed;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(narrowed), [&](const UpstreamView *view) {
            return predicate(request, *view);
        });
        if (!narrowed.empty()) {
            candidates.swap(narrowed);
        }
    };
    narrow(fitsPrefillCap);
    narrow(servesClass);
    return candidates;
}

}

EstimatedFirstTokenChooser::EstimatedFirstTokenChooser(const FirstTokenEstimator &estimator, std::uint32_t choices, double shortWeight)
    : m_estimator(estimator)
    , m_choices(std::max(choices, 1U))
    , m_shortWeight(std::clamp(shortWeight, 0.0, 1.0))
{
}

std::optional<UpstreamId> EstimatedFirstTokenChooser::choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random)
{
    Candidates candidates = eligibleCandidates(request, views);
    if (candidates.empty()) {
        return std::nullopt;
    }
    // A long prompt is compared with all candidates: long prompts are rare, so several hosts seldom choose from the same outdated views at once, and a bad
    // choice costs more.
    if (request.lengthClass != LengthClass::Long && candidates.size() > m_choices) {
        const auto mostCached = std::max_element(candidates.begin(), candidates.end(), [](const UpstreamView *left, const UpstreamView *right) {
            return left->cachedTokens < right->cachedTokens;
        });
        const UpstreamView *cacheHolder = *mostCached;
        for (std::uint32_t chosen = 0; chosen < m_choices; ++chosen) {
            std::uniform_int_distribution<std::size_t> remainingIndex(chosen, candidates.size() - 1);
            std::swap(candidates[chosen], candidates[remainingIndex(random)]);
        }
        candidates.resize(m_choices);
        if (cacheHolder->cachedTokens > 0) {
            candidates.push_back(cacheHolder);
        }
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const UpstreamView *left, const UpstreamView *right) {
        return cost(request, *left) < cost(request, *right);
    });
    return (*best)->id;
}

Seconds EstimatedFirstTokenChooser::cost(const RequestProfile &request, const UpstreamView &view) const
{
    Seconds total = m_estimator.timeToFirstToken(request, view);
    if (request.lengthClass == LengthClass::Long) {
        // An upstream that is not designated for long prompts is used if the wait at the designated ones is several times as long. Otherwise, with too few
        // designated upstreams for the load, long prompts would wait until their deadlines.
        return view.designatedForLong ? total : total * (1 + overflowPenalty * m_shortWeight);
    }
    if (view.prefillTokens(LengthClass::Long) > 0) {
        // At shortWeight 0.5, a second of delay to the long prompt counts as much as a second of this prompt's own wait.
        total += 2 * (1 - m_shortWeight) * m_estimator.prefillTime(request, view);
    }
    return total;
}

}
