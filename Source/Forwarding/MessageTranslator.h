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
 * \brief Translates between HTTP messages and the types of the serving layer; decides nothing.
 */
class MessageTranslator
{
public:
    MessageTranslator() = default;
    MessageTranslator(const MessageTranslator &) = delete;
    MessageTranslator &operator=(const MessageTranslator &) = delete;
    virtual ~MessageTranslator() = default;

    /// The caller's request, or why it cannot be understood.
    virtual std::variant<CallerRequest, ErrorKind> decodeRequest(const HttpExchange &exchange) const = 0;

    /// The request as it is sent to an upstream.
    virtual UpstreamCall::Request encodeRequest(const HttpExchange &exchange, const CallerRequest &request, const AttemptParameters &order) const = 0;

    virtual UpstreamAnswer decodeAnswer(const UpstreamCall &call, const CallerRequest &request) const = 0;

    /// Fields of an answer of our own; \p retryAfter zero advises no retry.
    virtual HeaderFields localAnswerFields(const CallerRequest &request, Duration retryAfter) const = 0;
};

}
