#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/UpstreamNotice.h"

namespace Mangofall::Forwarding {

/**
 * \class UpstreamAvailability
 * \brief Tells whether an upstream may be used as far as this host knows. An assignment from another host may be based on an older list.
 */
class UpstreamAvailability
{
public:
    UpstreamAvailability() = default;
    UpstreamAvailability(const UpstreamAvailability &) = delete;
    UpstreamAvailability &operator=(const UpstreamAvailability &) = delete;
    virtual ~UpstreamAvailability() = default;

    /// False if this host knows that the upstream is leaving, was removed, is out of service or wants no request from this host at \p now.
    virtual bool mayUse(const UpstreamId &upstream, TimePoint now) const = 0;

    /// Records what the upstream says about itself in an answer to this host.
    virtual void recordNotice(const UpstreamId &upstream, const Placement::UpstreamNotice &notice, TimePoint now) = 0;
};

}
