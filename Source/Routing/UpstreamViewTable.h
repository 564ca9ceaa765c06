#pragma once

#include "Routing/UpstreamView.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Mangofall {

/**
 * \class UpstreamViewTable
 * \brief Latest view of each upstream plus the requests that this host has sent to it since.
 *
 * Without the host's own recent requests, all requests between two load summaries would be sent to the same upstream.
 */
class UpstreamViewTable
{
public:
    /// Replaces the view with \p view's id, apart from designatedForLong, and so discards the dispatches noted since the last update.
    void update(const UpstreamView &view);

    void remove(const UpstreamId &upstream);

    /// Adds a request that this host sends to \p upstream to the queued requests and prefill tokens of its view.
    void noteDispatch(const UpstreamId &upstream, LengthClass lengthClass, std::uint64_t uncachedTokens);

    /// All views, sorted by id; valid until the next update() or remove().
    std::span<UpstreamView> views();

private:
    std::vector<UpstreamView> m_views; ///< Sorted by id.
};

}
