#include "Daemon/CompletionRequest.h"

#include <nlohmann/json.hpp>

namespace Mangofall {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t maxCompletionTokens = 1'000'000;

RequestProblem problem(std::string message)
{
    return {ErrorKind::MalformedRequest, std::move(message)};
}

// Appends the text of a chat message, which is a string or a list of parts with a "text" each; false for other content.
bool appendContent(const Json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    for (const Json &part : content) {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string()) {
            return false;
        }
        prompt += part["text"].get_ref<const std::string &>();
    }
    return true;
}

bool readMessages(const Json &messages, std::string &prompt)
{
    if (!messages.is_array() || messages.empty()) {
        return false;
    }
    for (const Json &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() || !message.contains("content")) {
            return false;
        }
        prompt += message["role"].get_ref<const std::string &>() + ": ";
        if (!appendContent(message["content"], prompt)) {
            return false;
        }
        prompt += '\n';
    }
    return true;
}

std::string idOf(const CompletionRequest &request, const RequestId &id)
{
    return (request.kind == CompletionKind::Chat ? "chatcmpl-" : "cmpl-") + id.value();
}

Json choiceOf(const CompletionRequest &request, std::string_view text, bool streamed)
{
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (request.kind == CompletionKind::Text) {
        choice["text"] = text;
    } else {
        choice[streamed ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
    }
    return choice;
}

Json usage(std::uint64_t promptTokens, std::uint32_t tokens)
{
    return {{"prompt_tokens", promptTokens}, {"completion_tokens", tokens}, {"total_tokens", promptTokens + tokens}};
}

Json answer(const CompletionRequest &request, const RequestId &id, Json choice, bool streamed)
{
    std::string object = request.kind == CompletionKind::Chat ? "chat.completion" : "text_completion";
    if (request.kind == CompletionKind::Chat && streamed) {
        object += ".chunk";
    }
    return {{"id", idOf(request, id)}, {"object", object}, {"model", request.model.value()}, {"choices", Json::array({std::move(choice)})}};
}

}

std::variant<CompletionRequest, RequestProblem> parseCompletion(CompletionKind kind, std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return problem("the body is not a JSON object");
    }
    CompletionRequest request;
    request.kind = kind;
    if (!json.contains("model") || !json["model"].is_string()) {
        return problem("\"model\" must be a string");
    }
    request.model = ModelId(json["model"].get<std::string>());
    if (kind == CompletionKind::Text) {
        if (!json.contains("prompt") || !json["prompt"].is_string()) {
            return problem("\"prompt\" must be a string");
        }
        request.prompt = json["prompt"].get<std::string>();
    } else if (!json.contains("messages") || !readMessages(json["messages"], request.prompt)) {
        return problem("\"messages\" must be a list of objects with a string \"role\" and a \"content\"");
    }
    if (json.contains("max_tokens")) {
        const Json &maxTokens = json["max_tokens"];
        if (!maxTokens.is_number_unsigned() || maxTokens.get<std::uint64_t>() == 0 || maxTokens.get<std::uint64_t>() > maxCompletionTokens) {
            return problem("\"max_tokens\" must be a number from 1 to " + std::to_string(maxCompletionTokens));
        }
        request.maxTokens = maxTokens.get<std::uint32_t>();
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return problem("\"stream\" must be true or false");
    }
    request.stream = json.value("stream", false);
    return request;
}

std::string engineBody(const CompletionRequest &request, std::string_view continuation)
{
    Json body = {{"model", request.model.value()}, {"prompt", request.prompt}, {"max_tokens", request.maxTokens}, {"stream", true}};
    if (!continuation.empty()) {
        body["continuation"] = continuation;
    }
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string answerChunk(const CompletionRequest &request, const RequestId &id, std::string_view text)
{
    return answer(request, id, choiceOf(request, text, true), true).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string answerLastChunk(const CompletionRequest &request, const RequestId &id, std::uint64_t promptTokens, std::uint32_t tokens)
{
    Json choice = choiceOf(request, "", true);
    choice["finish_reason"] = "stop";
    Json json = answer(request, id, std::move(choice), true);
    json["usage"] = usage(promptTokens, tokens);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string wholeAnswer(const CompletionRequest &request, const RequestId &id, std::string_view text, std::uint64_t promptTokens, std::uint32_t tokens)
{
    Json choice = choiceOf(request, text, false);
    choice["finish_reason"] = "stop";
    Json json = answer(request, id, std::move(choice), false);
    json["usage"] = usage(promptTokens, tokens);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
