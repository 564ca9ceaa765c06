#include "Config/JsonObjectReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace Mangofall {

namespace {

using nlohmann::json;

constexpr std::size_t maxDescriptionLength = 60;

std::string formatNumber(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string describeRange(const std::string &kind, const std::string &min, const std::string &max)
{
    return kind + " from " + min + " to " + max;
}

std::string joinNames(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

}

std::string describeJson(const json &value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > maxDescriptionLength) {
        text = text.substr(0, maxDescriptionLength) + "...";
    }
    return text;
}

JsonObjectReader::JsonObjectReader(const json &value, std::string path, ConfigurationProblems &problems)
    : m_value(value)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!m_value.is_object()) {
        addProblem({}, describeJson(m_value), "an object");
    }
}

const std::string &JsonObjectReader::path() const
{
    return m_path;
}

bool JsonObjectReader::has(std::string_view name) const
{
    return m_value.is_object() && m_value.contains(name);
}

void JsonObjectReader::addProblem(std::string_view name, std::string found, std::string allowed)
{
    m_problems.push_back({name.empty() ? m_path : fieldPath(m_path, name), std::move(found), std::move(allowed)});
}

const json *JsonObjectReader::field(std::string_view name, Presence presence)
{
    m_requestedFields.emplace_back(name);
    if (!m_value.is_object()) {
        return nullptr;
    }
    const auto found = m_value.find(name);
    if (found != m_value.end()) {
        return &*found;
    }
    if (presence == Presence::Required) {
        addProblem(name, "nothing", "this field is required");
    }
    return nullptr;
}

const json *JsonObjectReader::arrayField(std::string_view name, Presence presence)
{
    const json *value = field(name, presence);
    if (value != nullptr && !value->is_array()) {
        addProblem(name, describeJson(*value), "an array");
        return nullptr;
    }
    return value;
}

void JsonObjectReader::readInteger(std::string_view name, std::uint64_t &target, std::uint64_t min, std::uint64_t max, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < min || value->get<std::uint64_t>() > max) {
        addProblem(name, describeJson(*value), describeRange("a whole number", std::to_string(min), std::to_string(max)));
        return;
    }
    target = value->get<std::uint64_t>();
}

void JsonObjectReader::number(std::string_view name, double &target, double min, double max, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max) {
        addProblem(name, describeJson(*value), describeRange("a number", formatNumber(min), formatNumber(max)));
        return;
    }
    target = value->get<double>();
}

void JsonObjectReader::boolean(std::string_view name, bool &target, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        addProblem(name, describeJson(*value), "true or false");
        return;
    }
    target = value->get<bool>();
}

void JsonObjectReader::text(std::string_view name, std::string &target, const TextRule &rule, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !rule.accepts(value->get_ref<const std::string &>())) {
        addProblem(name, describeJson(*value), rule.allowed);
        return;
    }
    target = value->get<std::string>();
}

void JsonObjectReader::milliseconds(
    std::string_view name, std::chrono::milliseconds &target, std::chrono::milliseconds min, std::chrono::milliseconds max, Presence presence)
{
    auto count = static_cast<std::uint64_t>(target.count());
    readInteger(name, count, static_cast<std::uint64_t>(min.count()), static_cast<std::uint64_t>(max.count()), presence);
    target = std::chrono::milliseconds(count);
}

std::size_t JsonObjectReader::readNameIndex(std::string_view name, std::span<const std::string_view> allowedNames, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return allowedNames.size();
    }
    if (value->is_string()) {
        const auto found = std::ranges::find(allowedNames, value->get_ref<const std::string &>());
        if (found != allowedNames.end()) {
            return static_cast<std::size_t>(found - allowedNames.begin());
        }
    }
    addProblem(name, describeJson(*value), "one of " + joinNames(allowedNames));
    return allowedNames.size();
}

void JsonObjectReader::object(std::string_view name, const ObjectVisitor &visit, Presence presence)
{
    const json *value = field(name, presence);
    if (value == nullptr) {
        return;
    }
    JsonObjectReader reader(*value, fieldPath(m_path, name), m_problems);
    visit(reader);
    reader.refuseUnknownFields();
}

void JsonObjectReader::objects(std::string_view name, const ObjectVisitor &visit, Presence presence)
{
    const json *array = arrayField(name, presence);
    if (array == nullptr) {
        return;
    }
    const std::string path = fieldPath(m_path, name);
    for (std::size_t index = 0; index < array->size(); ++index) {
        JsonObjectReader reader((*array)[index], elementPath(path, index), m_problems);
        visit(reader);
        reader.refuseUnknownFields();
    }
}

void JsonObjectReader::texts(std::string_view name, const TextRule &rule, const std::function<void(std::string)> &visit, Presence presence)
{
    const json *array = arrayField(name, presence);
    if (array == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        const json &value = (*array)[index];
        if (value.is_string() && rule.accepts(value.get_ref<const std::string &>())) {
            visit(value.get<std::string>());
        } else {
            m_problems.push_back({elementPath(fieldPath(m_path, name), index), describeJson(value), rule.allowed});
        }
    }
}

void JsonObjectReader::refuseUnknownFields()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &item : m_value.items()) {
        if (std::ranges::find(m_requestedFields, item.key()) == m_requestedFields.end()) {
            std::string allowed;
            for (const std::string &requestedField : m_requestedFields) {
                allowed += (allowed.empty() ? "" : ", ") + requestedField;
            }
            addProblem(item.key(), "an unknown field", "the fields " + allowed);
        }
    }
}

}
