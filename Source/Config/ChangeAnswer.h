#pragma once

#include "Base/Ids.h"
#include "Config/ConfigurationProblem.h"
#include "Config/Revision.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

enum class ChangeResult {
    Accepted, ///< The change is in force from ChangeAnswer::revision on.
    Rejected, ///< The change is not in force and never will be; ChangeAnswer::reason states why.
    Unresolved, ///< The change may or may not be in force; sending it again with the same id resolves it.
};

/**
 * \class ChangeAnswer
 * \brief The answer to one configuration change.
 */
struct ChangeAnswer {
    ChangeId id;
    ChangeResult result = ChangeResult::Unresolved;
    Revision revision = 0; ///< The revision that the change made; set only if accepted.
    std::string reason; ///< Why the change was rejected; set only if rejected.

    friend bool operator==(const ChangeAnswer &, const ChangeAnswer &) = default;
};

/// Encodes an answer as JSON, which is the body of the response to `POST /operator/changes`.
nlohmann::json encodeChangeAnswer(const ChangeAnswer &answer);
/// Decodes an answer written by encodeChangeAnswer(); problems are added to \p problems, and the result is empty if there are any.
std::optional<ChangeAnswer> decodeChangeAnswer(std::string_view text, ConfigurationProblems &problems);

}
