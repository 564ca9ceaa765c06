#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

namespace Mangofall::Experiment {

/// The scenario or policy of \p all with this name; null if there is none.
template<typename Named>
const Named *findNamed(const std::vector<Named> &all, std::string_view name)
{
    const auto position = std::find_if(all.begin(), all.end(), [name](const Named &candidate) {
        return candidate.name == name;
    });
    return position == all.end() ? nullptr : &*position;
}

}
