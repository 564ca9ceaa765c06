#pragma once

#include "Peer/PeerMessages_generated.h"

#include <memory>

namespace Mangofall {

struct HostContext;

/// The first message of \p host's connections for \p purpose.
std::shared_ptr<const Wire::HelloT> makeHello(const HostContext &host, Wire::Purpose purpose);

}
