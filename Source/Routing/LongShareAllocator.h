#pragma once

#include "Base/Ids.h"
#include "Routing/UpstreamView.h"

#include <cstddef>
#include <span>

namespace Mangofall {

/**
 * \class LongShareAllocator
 * \brief Decides which upstreams take long prompts: size-interval assignment with equal load.
 *
 * The share of long upstreams is the long class's share of the recent work, moved by the preset's shortWeight: 0.5 gives
 * equal load, higher values leave fewer upstreams to long prompts. Upstreams are ranked by a hash, so hosts that see a
 * similar mix select nearly the same ones without talking to each other.
 */
class LongShareAllocator
{
public:
    /// \p shortWeight and \p minLongShare are the values of Preset.
    LongShareAllocator(double shortWeight, double minLongShare);

    /// Share of upstreams for long prompts, from 0 to 1, for a long work share of \p longWorkShare.
    double longShare(double longWorkShare) const;

    /// Sets designatedForLong of each view; at least one view that accepts work takes long prompts.
    void assign(std::span<UpstreamView> views, double longWorkShare);

    /// Whether \p view has no long work now, so that it serves short prompts although it takes long ones.
    static bool hasNoLongWork(const UpstreamView &view);

private:
    double m_shortWeight;
    double m_minLongShare;
    std::size_t m_longUpstreamCount = 0;
};

}
