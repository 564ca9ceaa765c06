#include "Daemon/EngineKvBlocks.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Mangofall {

namespace {

using Json = nlohmann::json;

constexpr char segmentMark = '.';

std::optional<KvBlock> blockOf(const Json &object)
{
    if (!object.is_object() || !object.contains("id") || !object["id"].is_string()) {
        return std::nullopt;
    }
    const KvBlockId id(object["id"].get<std::string>());
    const std::optional<AttemptId> owner = kvBlockOwner(id);
    return owner ? std::optional(KvBlock{id, KvBlockKind::Exported, *owner}) : std::nullopt;
}

}

KvBlockId kvBlockId(const AttemptId &owner, std::size_t segment)
{
    return KvBlockId(toString(owner) + segmentMark + std::to_string(segment));
}

std::optional<AttemptId> kvBlockOwner(const KvBlockId &id)
{
    const std::string &text = id.value();
    const std::size_t mark = text.find(segmentMark);
    if (mark == std::string::npos || mark + 1 == text.size()) {
        return std::nullopt;
    }
    const bool numbered = std::all_of(text.begin() + static_cast<std::ptrdiff_t>(mark) + 1, text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
    return numbered ? attemptIdFromString(std::string_view(text).substr(0, mark)) : std::nullopt;
}

std::optional<std::vector<KvBlock>> parseKvBlocks(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("blocks") || !json["blocks"].is_array()) {
        return std::nullopt;
    }
    std::vector<KvBlock> blocks;
    for (const Json &object : json["blocks"]) {
        if (std::optional<KvBlock> block = blockOf(object)) {
            blocks.push_back(*std::move(block));
        }
    }
    return blocks;
}

std::optional<KvBlock> kvBlockOfCall(std::string_view body)
{
    return blockOf(Json::parse(body, nullptr, false));
}

}
