#include "Http/SseParser.h"

namespace Mangofall {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataPrefix = "data:";
constexpr std::size_t compactThresholdBytes = 4096;

void appendLine(std::string &data, std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (!line.starts_with(dataPrefix)) {
        return;
    }
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (!data.empty()) {
        data += '\n';
    }
    data += line;
}

std::string eventData(std::string_view event)
{
    std::string data;
    while (!event.empty()) {
        const std::size_t lineEnd = event.find('\n');
        appendLine(data, event.substr(0, lineEnd));
        event.remove_prefix(lineEnd == std::string_view::npos ? event.size() : lineEnd + 1);
    }
    return data;
}

}

void SseParser::append(std::string_view bytes)
{
    if (m_start > compactThresholdBytes) {
        m_buffer.erase(0, m_start);
        m_start = 0;
    }
    m_buffer.append(bytes);
}

std::optional<std::string> SseParser::next()
{
    while (true) {
        const std::size_t lf = m_buffer.find(eventEnd, m_start);
        const std::size_t crlf = m_buffer.find("\r\n\r\n", m_start);
        const std::size_t end = std::min(lf, crlf);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::string data = eventData(std::string_view(m_buffer).substr(m_start, end - m_start));
        m_start = end + (end == crlf ? 4 : eventEnd.size());
        if (!data.empty()) {
            return data;
        }
    }
}

std::size_t SseParser::pendingBytes() const
{
    return m_buffer.size() - m_start;
}

std::string formatSseEvent(std::string_view id, std::string_view data)
{
    std::string event;
    if (!id.empty()) {
        event.append("id: ").append(id).append("\n");
    }
    event.append("data: ").append(data).append(eventEnd);
    return event;
}

}
