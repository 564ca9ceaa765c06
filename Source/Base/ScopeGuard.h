#pragma once

#include <utility>

namespace Mangofall {

/**
 * \class ScopeGuard
 * \brief Calls a function when the scope is left, also by an exception or when a coroutine is destroyed.
 */
template<class Function>
class ScopeGuard
{
public:
    explicit ScopeGuard(Function function)
        : m_function(std::move(function))
    {
    }

    ~ScopeGuard()
    {
        m_function();
    }

    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

private:
    Function m_function;
};

}
