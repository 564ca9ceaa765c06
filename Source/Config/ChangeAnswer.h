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
    Accepted, ///< In force from ChangeAnswer::revision on.
    Rejected, ///< Not in force and never will be; ChangeAnswer::reason tells why.
    Unresolved, ///< May or may not be in force; sending the change again with the same id settles it.
};

/**
 * \class ChangeAnswer
 * \brief The answer to one configuration change.
 */
struct ChangeAnswer {
    ChangeId id;
    ChangeResult result = ChangeResult::Unresolved;
    Revision revision = 0; ///< Set if accepted.
    std::string reason; ///< Set if rejected.

    friend bool operator==(const ChangeAnswer &, const ChangeAnswer &) = default;
};

nlohmann::json encodeChangeAnswer(const ChangeAnswer &answer);
std::optional<ChangeAnswer> decodeChangeAnswer(std::string_view text, ConfigurationProblems &problems);

}
