#include "Daemon/EngineKvBlocks.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Mangofall {

namespace {

using Json = nlohmann::json;

constexpr char segmentSeparator = '.';

std::optional<KvBlock> parseBlock(const Json &object)
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
    return KvBlockId(toString(owner) + segmentSeparator + std::to_string(segment));
}

std::optional<AttemptId> kvBlockOwner(const KvBlockId &id)
{
    const std::string &text = id.value();
    const std::size_t separator = text.find(segmentSeparator);
    if (separator == std::string::npos || separator + 1 == text.size()) {
        return std::nullopt;
    }
    const bool numbered = std::all_of(text.begin() + static_cast<std::ptrdiff_t>(separator) + 1, text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
    return numbered ? attemptIdFromString(std::string_view(text).substr(0, separator)) : std::nullopt;
}

std::optional<std::vector<KvBlock>> parseKvBlocks(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("blocks") || !json["blocks"].is_array()) {
        return std::nullopt;
    }
    std::vector<KvBlock> blocks;
    for (const Json &object : json["blocks"]) {
        if (std::optional<KvBlock> block = parseBlock(object)) {
            blocks.push_back(*std::move(block));
        }
    }
    return blocks;
}

std::optional<KvBlock> parseCalledKvBlock(std::string_view body)
{
    return parseBlock(Json::parse(body, nullptr, false));
}

}
