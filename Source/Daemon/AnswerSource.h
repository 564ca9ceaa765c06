#pragma once

#include "Base/ErrorKind.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Mangofall {

/**
 * \class AnswerSource
 * \brief The answer to one caller's request, taken piece by piece.
 */
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;

    /// The next piece of the answer; empty once it ended.
    virtual boost::asio::awaitable<std::optional<std::string>> next() = 0;

    /// The caller is gone: cancels what runs.
    virtual void callerLeft() = 0;

    /// Set once next() returned nothing.
    virtual ErrorKind error() const = 0;
    virtual bool notRun() const = 0;

    virtual std::uint64_t promptTokens() const = 0;
    virtual std::uint32_t tokens() const = 0;
};

}
