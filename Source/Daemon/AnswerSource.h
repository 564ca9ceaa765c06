#pragma once

#include "Base/ErrorKind.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Mangofall {

/**
 * \class AnswerSource
 * \brief Source of the answer to one caller's request, read one part at a time.
 */
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;

    /// Waits for the next part of the answer; empty once the answer ended.
    virtual boost::asio::awaitable<std::optional<std::string>> next() = 0;

    /// Cancels the running attempts after the caller disconnected.
    virtual void callerLeft() = 0;

    /// Error with which the answer ended; valid once next() returned nothing.
    virtual ErrorKind error() const = 0;
    /// True if the error answer says that the request did not run; valid once next() returned nothing.
    virtual bool notRun() const = 0;

    virtual std::uint64_t promptTokens() const = 0;
    virtual std::uint32_t tokens() const = 0;
};

}
