#pragma once

#include "Base/Ids.h"

namespace Mangofall::Forwarding {

/**
 * \class UpstreamAvailability
 * \brief What this host itself knows of an upstream; a place granted by another host may be based on an older list.
 */
class UpstreamAvailability
{
public:
    UpstreamAvailability() = default;
    UpstreamAvailability(const UpstreamAvailability &) = delete;
    UpstreamAvailability &operator=(const UpstreamAvailability &) = delete;
    virtual ~UpstreamAvailability() = default;

    /// False if this host knows that the upstream leaves, is gone or is out of service.
    virtual bool mayUse(const UpstreamId &upstream) const = 0;
};

}
