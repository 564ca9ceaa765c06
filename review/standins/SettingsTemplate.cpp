#include "SettingsTemplate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace Mangofall::Review {

namespace {

using nlohmann::json;

constexpr std::string_view opening = "{{";
constexpr std::string_view closing = "}}";
constexpr std::string_view jsonSuffix = "|json";

const json *find(const json &fields, std::string path)
{
    std::replace(path.begin(), path.end(), '.', '/');
    const json::json_pointer pointer("/" + path);
    return fields.contains(pointer) ? &fields.at(pointer) : nullptr;
}

std::string render(const json &fields, std::string name)
{
    const bool asJson = name.ends_with(jsonSuffix);
    if (asJson) {
        name.erase(name.size() - jsonSuffix.size());
    }
    const json *value = find(fields, name);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() && !asJson ? value->get<std::string>() : value->dump();
}

}

std::string fillTemplate(const std::string &text, const json &fields)
{
    std::string result;
    std::size_t position = 0;
    while (true) {
        const std::size_t start = text.find(opening, position);
        const std::size_t end = start == std::string::npos ? start : text.find(closing, start);
        if (end == std::string::npos) {
            return result + text.substr(position);
        }
        result += text.substr(position, start - position);
        result += render(fields, text.substr(start + opening.size(), end - start - opening.size()));
        position = end + closing.size();
    }
}

}
