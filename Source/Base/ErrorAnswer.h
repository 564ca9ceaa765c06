#pragma once

#include "Base/ErrorKind.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Mangofall {

/// Whether an answer of a kind may say that the request did not run.
enum class NotRunRule {
    IfNothingSent, ///< Said only if no byte of any attempt was written to an upstream, or the upstream refused before work.
    Never,
};

/**
 * \class ErrorAnswer
 * \brief One row of the table from error kind to the caller's answer.
 */
struct ErrorAnswer {
    std::string_view name; ///< Stable name in the JSON answer.
    std::string_view message;
    int httpStatus = 0;
    NotRunRule notRun = NotRunRule::Never;
    bool callerMayRetry = false;
    std::chrono::milliseconds retryAfter{0}; ///< Advice to the caller; zero where no retry is advised.
};

/// The row of \p kind.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// The JSON body of the caller's answer.
std::string errorBody(const ErrorAnswer &answer);

/// Whether the answer for \p kind says "not run"; \p bytesSent tells whether any attempt wrote to an upstream.
bool reportsNotRun(ErrorKind kind, bool bytesSent);

}
