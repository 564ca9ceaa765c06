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
    std::string prompt; ///< For chats the messages joined, each with its role.
    std::uint32_t maxTokens = 16;
    bool stream = false;
};

/**
 * \class RequestProblem
 * \brief Why a body is no valid request, for the caller.
 */
struct RequestProblem {
    ErrorKind kind = ErrorKind::MalformedRequest;
    std::string message;
};

std::variant<CompletionRequest, RequestProblem> parseCompletion(CompletionKind kind, std::string_view body);

/// The body for the engine. \p continuation is the text of an answer that another upstream began, or empty.
std::string engineBody(const CompletionRequest &request, std::string_view continuation);

/// One event of a streamed answer.
std::string answerChunk(const CompletionRequest &request, const RequestId &id, std::string_view text);

/// The last event before the end marker.
std::string answerLastChunk(const CompletionRequest &request, const RequestId &id, std::uint64_t promptTokens, std::uint32_t tokens);

/// The whole answer.
std::string wholeAnswer(const CompletionRequest &request, const RequestId &id, std::string_view text, std::uint64_t promptTokens, std::uint32_t tokens);

}
