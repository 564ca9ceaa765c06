#pragma once

#include "Base/Ids.h"
#include "Routing/UpstreamView.h"

#include <cstddef>
#include <span>

namespace Mangofall {

/**
 * \class LongShareAllocator
 * \brief Designates upstreams for long prompts: size-interval task assignment with equal load.
 *
 * The share of upstreams designated for long prompts is the long class's share of the recent work, adjusted by the preset's shortWeight: 0.5 gives equal load,
 * higher values designate fewer upstreams. Upstreams are ranked by a hash of their ids, so hosts with similar traffic designate nearly the same ones without
 * exchanging messages.
 */
class LongShareAllocator
{
public:
    /// \p shortWeight and \p minLongShare are the settings of the same name in Preset.
    LongShareAllocator(double shortWeight, double minLongShare);

    /// Share of upstreams to designate for long prompts, from 0 to 1, if \p longWorkShare of the recent work belongs to long prompts.
    double longShare(double longWorkShare) const;

    /// Sets designatedForLong of each view. If any upstream accepts requests, at least one of those that do is designated.
    void assign(std::span<UpstreamView> views, double longWorkShare);

    /// Whether \p view has no prefill of long prompts in flight or queued, so that it may serve short prompts even if it is designated for long ones.
    static bool hasNoLongWork(const UpstreamView &view);

private:
    double m_shortWeight;
    double m_minLongShare;
    std::size_t m_longUpstreamCount = 0;
};

}
