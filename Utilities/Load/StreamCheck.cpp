#include "Load/StreamCheck.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Load {

std::uint32_t StreamCheck::take(std::string_view bytes)
{
    std::uint32_t events = 0;
    for (const char byte : bytes) {
        if (byte != '\n') {
            m_line += byte;
            continue;
        }
        events += processLine(m_line) ? 1 : 0;
        m_line.clear();
    }
    return events;
}

bool StreamCheck::whole(std::uint32_t tokens) const
{
    return m_inOrder && !m_failed && m_usageSeen && m_doneSeen && m_partialToken.empty() && m_tokens == tokens;
}

bool StreamCheck::inOrder() const
{
    return m_inOrder;
}

bool StreamCheck::failed() const
{
    return m_failed;
}

bool StreamCheck::notRun() const
{
    return m_notRun;
}

std::uint32_t StreamCheck::tokens() const
{
    return m_tokens;
}

bool StreamCheck::processLine(std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (!line.starts_with(prefix)) {
        return false;
    }
    line.remove_prefix(prefix.size());
    line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
    m_inOrder = m_inOrder && !m_doneSeen;
    if (line == "[DONE]") {
        m_doneSeen = true;
        return false;
    }
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
        m_inOrder = false;
        return false;
    }
    if (event.contains("error") || event.contains("kind")) {
        const nlohmann::json &error = event.contains("error") ? event["error"] : event;
        m_failed = true;
        m_notRun = error.is_object() && error.value("not_run", false);
        return false;
    }
    m_usageSeen = m_usageSeen || (event.contains("usage") && event["usage"].is_object());
    bool hasText = false;
    for (const nlohmann::json &choice : event.value("choices", nlohmann::json::array())) {
        const std::string text = choice.value("text", std::string());
        hasText = hasText || !text.empty();
        checkTokens(text);
    }
    return hasText;
}

void StreamCheck::checkTokens(std::string_view text)
{
    for (const char character : text) {
        if (character != ' ') {
            m_partialToken += character;
            continue;
        }
        m_inOrder = m_inOrder && m_partialToken.starts_with("tok" + std::to_string(m_tokens) + ".");
        ++m_tokens;
        m_partialToken.clear();
    }
}

}
