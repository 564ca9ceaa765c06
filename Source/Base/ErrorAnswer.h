#pragma once

#include "Base/ErrorKind.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Mangofall {

/// Whether an error answer may report that the request did not run.
enum class NotRunRule {
    IfNothingSent, ///< Reported only if no byte of any attempt was written to an upstream, or the upstream refused the request before starting work.
    Never,
};

/**
 * \class ErrorAnswer
 * \brief The answer that a caller gets for one error kind.
 */
struct ErrorAnswer {
    std::string_view name; ///< Stable name of the error kind in the JSON answer.
    std::string_view message;
    int httpStatus = 0;
    NotRunRule notRunRule = NotRunRule::Never;
    bool callerMayRetry = false;
    std::chrono::milliseconds retryAfter{0}; ///< Delay after which the caller is advised to retry; zero if no retry is advised.
};

/// The answer for \p kind.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// The JSON body of the answer to the caller.
std::string errorBody(const ErrorAnswer &answer);

/// Whether the answer for \p kind reports that the request did not run; \p bytesSent tells whether any attempt wrote to an upstream.
bool reportsNotRun(ErrorKind kind, bool bytesSent);

}
