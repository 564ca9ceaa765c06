#pragma once

#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Mangofall {

enum class CompletionKind {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/**
 * \class CompletionRequest
 * \brief A caller's model request, read from its JSON body.
 */
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Text;
    ModelId model;
    std::string prompt; ///< For a chat, its messages joined into one text, each after its role.
    std::uint32_t maxTokens = 16;
    bool stream = false;
};

/**
 * \class RequestProblem
 * \brief The error that a caller gets for an invalid request body.
 */
struct RequestProblem {
    ErrorKind kind = ErrorKind::MalformedRequest;
    std::string message;
};

std::variant<CompletionRequest, RequestProblem> parseCompletion(CompletionKind kind, std::string_view body);

/// The request body for the engine. \p continuation is the text of an answer that another upstream began, or empty.
std::string engineBody(const CompletionRequest &request, std::string_view continuation);

/// The JSON data of one event of a streamed answer.
std::string answerChunk(const CompletionRequest &request, const RequestId &id, std::string_view text);

/// The JSON data of the last event before the `[DONE]` marker; it carries the finish reason and the token counts.
std::string answerLastChunk(const CompletionRequest &request, const RequestId &id, std::uint64_t promptTokens, std::uint32_t tokens);

/// The JSON body of an answer that is not streamed.
std::string wholeAnswer(const CompletionRequest &request, const RequestId &id, std::string_view text, std::uint64_t promptTokens, std::uint32_t tokens);

}
