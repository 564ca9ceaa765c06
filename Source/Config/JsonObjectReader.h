#pragma once

#include "Base/StrongId.h"
#include "Config/ConfigurationProblem.h"
#include "Config/TextRule.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Mangofall {

enum class Presence {
    Required,
    Optional, ///< A missing field leaves the target as it is.
};

/// The name of an enumeration value in JSON.
template<class Enum>
struct EnumName {
    std::string_view name;
    Enum value;
};

/**
 * \class JsonObjectReader
 * \brief Reads the fields of one JSON object. Each fault is reported as a ConfigurationProblem.
 *
 * Call refuseUnknownFields() after all fields are read: it reports each field of the object that no call has read.
 */
class JsonObjectReader
{
public:
    using ObjectVisitor = std::function<void(JsonObjectReader &)>;

    /// Reports a problem if \p value is not an object. \p value and \p problems must outlive the reader.
    JsonObjectReader(const nlohmann::json &value, std::string path, ConfigurationProblems &problems);

    const std::string &path() const;
    bool has(std::string_view name) const;
    /// Adds a problem at field \p name, or at the object itself if the name is empty.
    void addProblem(std::string_view name, std::string found, std::string allowed);

    template<std::unsigned_integral Integer>
    void
    integer(std::string_view name, Integer &target, Integer min = 0, Integer max = std::numeric_limits<Integer>::max(), Presence presence = Presence::Required)
    {
        std::uint64_t value = target;
        readInteger(name, value, min, max, presence);
        target = static_cast<Integer>(value);
    }

    void number(std::string_view name, double &target, double min, double max, Presence presence = Presence::Required);
    void boolean(std::string_view name, bool &target, Presence presence = Presence::Required);
    void text(std::string_view name, std::string &target, const TextRule &rule, Presence presence = Presence::Required);
    /// Reads a whole number of milliseconds from \p min to \p max.
    void milliseconds(std::string_view name,
                      std::chrono::milliseconds &target,
                      std::chrono::milliseconds min,
                      std::chrono::milliseconds max,
                      Presence presence = Presence::Required);

    template<class Tag>
    void id(std::string_view name, StrongId<Tag> &target, Presence presence = Presence::Required)
    {
        std::string value = target.value();
        text(name, value, identifierRule, presence);
        target = StrongId<Tag>(std::move(value));
    }

    template<class Enum>
    void choice(std::string_view name, Enum &target, std::span<const EnumName<Enum>> names, Presence presence = Presence::Required)
    {
        std::vector<std::string_view> allowedNames;
        for (const EnumName<Enum> &entry : names) {
            allowedNames.push_back(entry.name);
        }
        const std::size_t index = readNameIndex(name, allowedNames, presence);
        if (index < names.size()) {
            target = names[index].value;
        }
    }

    /// Calls \p visit for the object at \p name; unknown fields in it are refused.
    void object(std::string_view name, const ObjectVisitor &visit, Presence presence = Presence::Required);
    /// Calls \p visit for each object of the array at \p name; unknown fields in them are refused.
    void objects(std::string_view name, const ObjectVisitor &visit, Presence presence = Presence::Required);
    /// Calls \p visit for each string of the array at \p name that satisfies \p rule.
    void texts(std::string_view name, const TextRule &rule, const std::function<void(std::string)> &visit, Presence presence = Presence::Required);

    /// Reports each field of the object that no earlier call has read.
    void refuseUnknownFields();

private:
    const nlohmann::json *field(std::string_view name, Presence presence);
    const nlohmann::json *arrayField(std::string_view name, Presence presence);
    void readInteger(std::string_view name, std::uint64_t &target, std::uint64_t min, std::uint64_t max, Presence presence);
    /// Index of the field's string in \p allowedNames; allowedNames.size() if the field is missing or has another value.
    std::size_t readNameIndex(std::string_view name, std::span<const std::string_view> allowedNames, Presence presence);

    const nlohmann::json &m_value;
    std::string m_path;
    ConfigurationProblems &m_problems;
    std::vector<std::string> m_requestedFields;
};

/// A description of \p value for error messages: its JSON text, shortened if long, or its type for objects and arrays.
std::string describeJson(const nlohmann::json &value);

/// The name of \p value in \p names; empty if it is not listed.
template<class Enum>
std::string_view enumName(Enum value, std::span<const EnumName<Enum>> names)
{
    for (const EnumName<Enum> &entry : names) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return {};
}

}
