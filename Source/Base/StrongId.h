#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Mangofall {

/**
 * \class StrongId
 * \brief A string identifier whose type tells what it identifies.
 *
 * Two identifiers with different tags do not convert to each other, so a host id cannot be passed as an upstream id.
 */
template<class Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    friend bool operator==(const StrongId &, const StrongId &) = default;

    // A defaulted <=> is not used: clang-tidy 14 reports modernize-use-nullptr wherever an ordered container uses it.
    friend bool operator<(const StrongId &left, const StrongId &right)
    {
        return left.m_value < right.m_value;
    }

    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

}

template<class Tag>
struct std::hash<Mangofall::StrongId<Tag>> {
    std::size_t operator()(const Mangofall::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
