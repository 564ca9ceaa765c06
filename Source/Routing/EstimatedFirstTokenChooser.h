#pragma once

#include "Routing/UpstreamChooser.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class EstimatedFirstTokenChooser
 * \brief Default policy: chooses the least estimated time to first token among some random upstreams and the one with the most cached tokens.
 *
 * A long prompt is compared with all upstreams; it goes to one that is not designated for long prompts only if the estimate there is several times lower. Short
 * and medium prompts use the upstreams that are not designated for long prompts and those that have no long work now; the delay that they would cause to a long
 * prompt is weighted according to the preset's shortWeight. A cached prefix only shortens the estimate, so it does not decide the choice if the wait exceeds
 * the time that it saves.
 */
class EstimatedFirstTokenChooser final : public UpstreamChooser
{
public:
    /// \p estimator must outlive the chooser; \p choices and \p shortWeight are the settings of the same name in Preset.
    EstimatedFirstTokenChooser(const FirstTokenEstimator &estimator, std::uint32_t choices, double shortWeight);

    std::optional<UpstreamId> choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random) override;

private:
    /// Estimated time to first token at \p view, raised by a weighted penalty for the effect on prompts of other classes.
    Seconds cost(const RequestProfile &request, const UpstreamView &view) const;

    const FirstTokenEstimator &m_estimator;
    std::uint32_t m_choices;
    double m_shortWeight;
};

}
