#pragma once

#include <cstdint>
#include <string>

namespace Mangofall {
class SseEventSplitter;
}

namespace Mangofall::Forwarding {

/**
 * \class EventBatch
 * \brief The events of a stream that arrived together and that the caller does not have yet.
 *
 * The batch does not advance the position of the stream: its events count as received only after they have been written to the caller.
 */
class EventBatch
{
public:
    /// \p lastEventId is the id of the last event that the caller has; 0 if none.
    explicit EventBatch(std::uint64_t lastEventId);

    /// Takes the complete events from \p splitter. Returns false at an event that is malformed or has no id; the batch then holds the events before it.
    bool takeFrom(SseEventSplitter &splitter);

    bool empty() const;
    /// The events, unchanged and in order.
    const std::string &bytes() const;
    /// The id of the last event that the caller has once bytes() has been written to it.
    std::uint64_t lastEventId() const;

private:
    std::uint64_t m_lastEventId;
    std::string m_bytes;
};

}
