#include "Http/SseEventSplitter.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Mangofall {

namespace {

constexpr std::string_view idField = "id";

bool isFieldName(std::string_view name)
{
    return std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_';
    });
}

void parseLine(std::string_view line, SseRawEvent &event)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isFieldName(line.substr(0, colon))) {
        event.wellFormed = false;
        return;
    }
    if (line.substr(0, colon) != idField) {
        return;
    }
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id);
    if (error == std::errc() && end == value.data() + value.size()) {
        event.id = id;
    }
}

}

void SseEventSplitter::append(std::string_view bytes)
{
    m_buffer += bytes;
}

std::optional<SseRawEvent> SseEventSplitter::next()
{
    const std::optional<std::size_t> length = eventLength();
    if (!length) {
        return std::nullopt;
    }
    SseRawEvent event{m_buffer.substr(0, *length), {}, true};
    m_buffer.erase(0, *length);
    m_lineStart = 0;
    m_searchStart = 0;
    std::string_view rest = event.bytes;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.empty()) {
            parseLine(line, event);
        }
    }
    return event;
}

std::optional<std::size_t> SseEventSplitter::eventLength()
{
    const std::string_view text = m_buffer;
    for (std::size_t end = text.find('\n', m_searchStart); end != std::string_view::npos; end = text.find('\n', m_searchStart)) {
        const std::string_view line = text.substr(m_lineStart, end - m_lineStart);
        if (m_lineStart > 0 && (line.empty() || line == "\r")) {
            return end + 1;
        }
        m_lineStart = end + 1;
        m_searchStart = m_lineStart;
    }
    m_searchStart = text.size();
    return std::nullopt;
}

std::string_view SseEventSplitter::pending() const
{
    return m_buffer;
}

}
