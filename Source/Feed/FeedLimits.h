#pragma once

#include "Peer/PeerConnection.h"

namespace Mangofall::Feed {

/// Bounds of the memory of one feed connection. A value in the store has at most 1 MB, and an answer may hold several that changed together.
constexpr PeerConnectionLimits feedConnectionLimits{.maxFrameBytes = 16UL * 1024 * 1024, .maxQueuedBytes = 16UL * 1024 * 1024};

}
