#pragma once

#include "Base/AttemptId.h"
#include "Base/StrongId.h"

namespace Mangofall {

/// An exported KV block, or a pin on a block, at one engine.
using KvBlockId = StrongId<struct KvBlockIdTag>;

enum class KvBlockKind {
    Exported,
    Pinned,
};

/**
 * \class KvBlock
 * \brief Memory that an engine holds for an attempt until it is told to free it.
 */
struct KvBlock {
    KvBlockId id;
    KvBlockKind kind = KvBlockKind::Exported;
    AttemptId owner;

    friend bool operator==(const KvBlock &, const KvBlock &) = default;
};

}
