#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
#include "Config/Preset.h"
#include "Routing/RequestProfile.h"
#include "Routing/UpstreamView.h"

#include <memory>
#include <optional>
#include <span>

namespace Mangofall {

class FirstTokenEstimator;

/**
 * \class UpstreamChooser
 * \brief Chooses the upstream of a request among those that serve its model or service.
 */
class UpstreamChooser
{
public:
    UpstreamChooser() = default;
    virtual ~UpstreamChooser() = default;
    UpstreamChooser(const UpstreamChooser &) = delete;
    UpstreamChooser &operator=(const UpstreamChooser &) = delete;

    /// Chosen upstream of \p views for \p request; empty if none of them accepts requests.
    virtual std::optional<UpstreamId> choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random) = 0;
};

/// Creates the chooser of \p preset's routing policy. \p estimator must outlive it.
std::unique_ptr<UpstreamChooser> makeUpstreamChooser(const Preset &preset, const FirstTokenEstimator &estimator);

}
