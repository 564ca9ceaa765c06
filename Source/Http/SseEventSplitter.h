#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/**
 * \class SseRawEvent
 * \brief One server-sent event as received, including the blank line that ends it.
 */
struct SseRawEvent {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< Empty if the event has no id or its id is not a number.
    bool wellFormed = true; ///< Whether every line is a field, a comment or empty.
};

/**
 * \class SseEventSplitter
 * \brief Splits a stream of server-sent events into complete events without changing their bytes.
 */
class SseEventSplitter
{
public:
    /// Adds bytes as they arrive; they may end anywhere within an event.
    void append(std::string_view bytes);

    /// Removes and returns the next complete event; empty if there is none.
    std::optional<SseRawEvent> next();

    /// Buffered bytes that next() has not returned.
    std::string_view pending() const;

private:
    /// Length of the first event including its blank line; empty if the event is incomplete. Bytes that were searched before are not searched again.
    std::optional<std::size_t> eventLength();

    std::string m_buffer;
    std::size_t m_lineStart = 0; ///< Start of the line that was incomplete at the last search.
    std::size_t m_searchStart = 0; ///< End of what was searched.
};

}
