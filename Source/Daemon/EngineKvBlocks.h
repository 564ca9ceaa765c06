#pragma once

#include "Engines/KvBlock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/// Id of the block that holds segment \p segment of the prompt of \p owner. Engines list blocks by id only, so the id contains the owner.
KvBlockId kvBlockId(const AttemptId &owner, std::size_t segment);

/// The owner of the block \p id; empty for an id that kvBlockId() did not make.
std::optional<AttemptId> kvBlockOwner(const KvBlockId &id);

/// The blocks in an engine's answer to `GET /kv`; empty if it has another format. Blocks whose id contains no owner are left out.
std::optional<std::vector<KvBlock>> parseKvBlocks(std::string_view body);

/// The block named in the body of an export or import call; empty if there is none or its id contains no owner.
std::optional<KvBlock> parseCalledKvBlock(std::string_view body);

}
