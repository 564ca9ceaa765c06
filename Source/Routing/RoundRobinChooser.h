#pragma once

#include "Routing/UpstreamChooser.h"

#include <cstddef>

namespace Mangofall {

/**
 * \class RoundRobinChooser
 * \brief Baseline policy: chooses the upstreams that accept requests in turn.
 */
class RoundRobinChooser final : public UpstreamChooser
{
public:
    std::optional<UpstreamId> choose(const RequestProfile &request, std::span<const UpstreamView> views, RandomEngine &random) override;

private:
    std::size_t m_next = 0;
};

}
