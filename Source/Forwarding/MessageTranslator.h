#pragma once

#include "Base/ErrorKind.h"
#include "Base/Time.h"
#include "Forwarding/AttemptParameters.h"
#include "Forwarding/CallerRequest.h"
#include "Forwarding/UpstreamAnswer.h"
#include "Http/HttpExchange.h"
#include "Http/UpstreamCall.h"

#include <variant>

namespace Mangofall::Forwarding {

/**
 * \class MessageTranslator
 * \brief Translates between HTTP messages and the types of the serving layer; contains no decisions.
 */
class MessageTranslator
{
public:
    MessageTranslator() = default;
    MessageTranslator(const MessageTranslator &) = delete;
    MessageTranslator &operator=(const MessageTranslator &) = delete;
    virtual ~MessageTranslator() = default;

    /// The caller's request, or the error to answer if it is malformed.
    virtual std::variant<CallerRequest, ErrorKind> decodeRequest(const HttpExchange &exchange) const = 0;

    /// The message to send to an upstream for one attempt, without its body, which is that of the caller's request.
    virtual UpstreamCall::Request encodeRequest(const HttpExchange &exchange, const CallerRequest &request, const AttemptParameters &parameters) const = 0;

    /// Evaluates the answer header that \p call received for \p request.
    virtual UpstreamAnswer decodeAnswer(const UpstreamCall &call, const CallerRequest &request) const = 0;

    /// Header fields of an answer that this host generates itself; without advice to retry if \p retryAfter is zero.
    virtual HeaderFields localAnswerFields(const CallerRequest &request, Duration retryAfter) const = 0;
};

}
