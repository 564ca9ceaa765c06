#pragma once

#include "Base/AttemptId.h"
#include "Base/StrongId.h"

namespace Mangofall {

/// Identifies an exported KV block, or a pin on a block, at one engine.
using KvBlockId = StrongId<struct KvBlockIdTag>;

enum class KvBlockKind {
    Exported,
    Pinned,
};

/**
 * \class KvBlock
 * \brief KV cache memory that an engine keeps for an attempt until it is told to free it.
 */
struct KvBlock {
    KvBlockId id;
    KvBlockKind kind = KvBlockKind::Exported;
    AttemptId owner; ///< The attempt that the block is kept for.

    friend bool operator==(const KvBlock &, const KvBlock &) = default;
};

}
