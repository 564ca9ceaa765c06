#pragma once

#include "Placement/UpstreamEntry.h"

namespace Mangofall::Forwarding {

/**
 * \class ListedUpstream
 * \brief One entry of the upstream list.
 */
struct ListedUpstream {
    Placement::UpstreamEntry entry; ///< `accepting` is ignored.
    bool leaving = false;
};

}
