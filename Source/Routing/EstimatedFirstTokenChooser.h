#pragma once

#include "Routing/UpstreamChooser.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class EstimatedFirstTokenChooser
 * \brief Default policy: the least estimated time to first token among some random candidates and the best cache holder.
 *
 * Long prompts compare all upstreams and use one that takes no long ones only if its estimate is several times better. Short and medium prompts use the
 * upstreams that take no long ones and those that have no long work now; the delay that they would cause to a long prompt counts with the preset's weight. A
 * cached prefix only shortens the estimate, so it is overridden when the wait exceeds the time it saves.
 */
class EstimatedFirstTokenChooser final : public UpstreamChooser
{
public:
    /// \p estimator must outlive the chooser; \p choices and \p shortWeight are the values of Preset.
    EstimatedFirstTokenChooser(const FirstTokenEstimator &estimator, std::uint32_t choices, double shortWeight);

    std::optional<UpstreamId> choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random) override;

private:
    Seconds cost(const RequestProfile &request, const UpstreamView &view) const;

    const FirstTokenEstimator &m_estimator;
    std::uint32_t m_choices;
    double m_shortWeight;
};

}
