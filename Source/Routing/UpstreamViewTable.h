#pragma once

#include "Routing/UpstreamView.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Mangofall {

/**
 * \class UpstreamViewTable
 * \brief The latest view of each upstream plus the work that this host sent there since.
 *
 * Without the host's own recent work, all requests between two load summaries would choose the same upstream.
 */
class UpstreamViewTable
{
public:
    /// Replaces the view with \p view's id; what was noted since the last update is forgotten.
    void update(const UpstreamView &view);

    void remove(const UpstreamId &upstream);

    /// Adds a request that this host sends to \p upstream to the queued work.
    void noteDispatch(const UpstreamId &upstream, LengthClass lengthClass, std::uint64_t uncachedTokens);

    std::span<UpstreamView> views();

private:
    std::vector<UpstreamView> m_views; ///< Sorted by id.
};

}
