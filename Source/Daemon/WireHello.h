#pragma once

#include "Peer/PeerMessages_generated.h"

#include <memory>

namespace Mangofall {

struct HostContext;

/// The message that opens each connection of \p host to a peer for \p purpose.
std::shared_ptr<const Wire::HelloT> makeHello(const HostContext &host, Wire::Purpose purpose);

}
