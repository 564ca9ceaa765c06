#pragma once

#include "Base/Ids.h"

namespace Mangofall::Feed {

class ItemSource;

/**
 * \class PeerSources
 * \brief Gives access to the other hosts as sources of the store's keys.
 */
class PeerSources
{
public:
    virtual ~PeerSources() = default;
    /// The source for \p host. It stays valid until the next call, which may give up the connection to another host.
    virtual ItemSource &peer(const HostId &host) = 0;
};

}
