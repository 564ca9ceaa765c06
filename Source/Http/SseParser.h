#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/**
 * \class SseParser
 * \brief Splits a stream of server-sent events into the data of each event.
 */
class SseParser
{
public:
    /// Adds bytes as they arrive; they may end anywhere.
    void append(std::string_view bytes);

    /// The data of the next complete event (lines joined by newlines); empty if none is complete.
    std::optional<std::string> next();

    /// Bytes held that do not yet form an event.
    std::size_t pendingBytes() const;

private:
    std::string m_buffer;
    std::size_t m_start = 0;
};

/// Formats \p data as one event with \p id; \p data holds no newline.
std::string formatSseEvent(std::string_view id, std::string_view data);

}
