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
    /// Adds bytes as they arrive; they may end anywhere within an event.
    void append(std::string_view bytes);

    /// Removes the next complete event that has data and returns its data lines, joined by newlines; empty if there is none.
    std::optional<std::string> next();

    /// Number of buffered bytes that next() has not consumed.
    std::size_t pendingBytes() const;

private:
    std::string m_buffer;
    std::size_t m_start = 0; ///< Offset of the first unconsumed byte in m_buffer.
};

/// Formats \p data as one event with \p id, or without an id if \p id is empty; \p data must not contain a newline.
std::string formatSseEvent(std::string_view id, std::string_view data);

}
