#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

namespace Mangofall::Experiment {

/// The scenario or policy of \p candidates that is named \p name; null if there is none.
template<typename Named>
const Named *findNamed(const std::vector<Named> &candidates, std::string_view name)
{
    const auto position = std::find_if(candidates.begin(), candidates.end(), [name](const Named &candidate) {
        return candidate.name == name;
    });
    return position == candidates.end() ? nullptr : &*position;
}

}
