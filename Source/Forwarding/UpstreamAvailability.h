#pragma once

#include "Base/Ids.h"

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

    /// False if this host knows that the upstream is leaving, was removed or is out of service.
    virtual bool mayUse(const UpstreamId &upstream) const = 0;
};

}
