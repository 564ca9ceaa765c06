#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/**
 * \class SseRawEvent
 * \brief One server-sent event as it was received, with the blank line that ends it.
 */
struct SseRawEvent {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< Empty if the event has no id or one that is not a number.
    bool wellFormed = true; ///< Every line is a field, a comment or empty.
};

/**
 * \class SseEventSplitter
 * \brief Splits a stream of server-sent events into whole events without changing their bytes.
 */
class SseEventSplitter
{
public:
    void append(std::string_view bytes);

    /// The next whole event; empty if none is complete.
    std::optional<SseRawEvent> next();

    /// Bytes held that do not form a whole event.
    std::string_view pending() const;

private:
    std::string m_buffer;
};

}
