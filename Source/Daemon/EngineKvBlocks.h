#pragma once

#include "Engines/KvBlock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/// Id of the block that holds segment \p segment of the prompt of \p owner. Engines list ids only, so the id names the owner.
KvBlockId kvBlockId(const AttemptId &owner, std::size_t segment);

/// The owner that \p id names; empty for an id that is not from kvBlockId().
std::optional<AttemptId> kvBlockOwner(const KvBlockId &id);

/// The blocks in an engine's answer to `GET /kv`; empty if it has another format. Ids that name no owner are left out.
std::optional<std::vector<KvBlock>> parseKvBlocks(std::string_view body);

/// The block that the body of an export or import call names; empty if it names none with an owner.
std::optional<KvBlock> parseCalledKvBlock(std::string_view body);

}
