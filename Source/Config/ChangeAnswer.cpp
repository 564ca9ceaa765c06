#include "Config/ChangeAnswer.h"

#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Mangofall {

namespace {

constexpr std::array<EnumName<ChangeResult>, 3> resultNames = {{
    {"accepted", ChangeResult::Accepted},
    {"rejected", ChangeResult::Rejected},
    {"unresolved", ChangeResult::Unresolved},
}};

bool acceptsAnyText(std::string_view)
{
    return true;
}

constexpr TextRule anyText{acceptsAnyText, "text"};

}

nlohmann::json encodeChangeAnswer(const ChangeAnswer &answer)
{
    nlohmann::json object = {{"id", answer.id.value()}, {"result", enumName<ChangeResult>(answer.result, resultNames)}};
    if (answer.result == ChangeResult::Accepted) {
        object["revision"] = answer.revision;
    } else if (answer.result == ChangeResult::Rejected) {
        object["reason"] = answer.reason;
    }
    return object;
}

std::optional<ChangeAnswer> decodeChangeAnswer(std::string_view text, ConfigurationProblems &problems)
{
    ConfigurationProblems found;
    ChangeAnswer answer;
    const std::optional<nlohmann::json> value = parseJsonText(text, found);
    if (value.has_value()) {
        JsonObjectReader reader(*value, {}, found);
        reader.id("id", answer.id);
        reader.choice<ChangeResult>("result", answer.result, resultNames);
        if (answer.result == ChangeResult::Accepted) {
            reader.integer<Revision>("revision", answer.revision, 1);
        } else if (answer.result == ChangeResult::Rejected) {
            reader.text("reason", answer.reason, anyText);
        }
        reader.refuseUnknownFields();
    }
    problems.insert(problems.end(), found.begin(), found.end());
    return found.empty() ? std::optional<ChangeAnswer>(answer) : std::nullopt;
}

}
