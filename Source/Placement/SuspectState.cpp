#include "Placement/SuspectState.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace Mangofall::Placement {

std::string suspectName(SuspectId suspect)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, suspect);
    return text.data();
}

}
