#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Mangofall {

/// Class of a prompt by the prefill work that it needs, relative to recent traffic.
enum class LengthClass : std::uint8_t {
    Short,
    Medium,
    Long,
};

constexpr std::size_t lengthClassCount = 3;

/// One value per length class, indexed by indexOf().
template<class Value>
using PerClass = std::array<Value, lengthClassCount>;

constexpr std::size_t indexOf(LengthClass lengthClass)
{
    return static_cast<std::size_t>(lengthClass);
}

/// Name of \p lengthClass in metrics and spans.
constexpr const char *nameOf(LengthClass lengthClass)
{
    switch (lengthClass) {
    case LengthClass::Short:
        return "short";
    case LengthClass::Medium:
        return "medium";
    case LengthClass::Long:
        break;
    }
    return "long";
}

}
