#include "Forwarding/EventBatch.h"

#include "Http/SseEventSplitter.h"

namespace Mangofall::Forwarding {

EventBatch::EventBatch(std::uint64_t lastEventId)
    : m_lastEventId(lastEventId)
{
}

bool EventBatch::takeFrom(SseEventSplitter &splitter)
{
    while (const std::optional<SseRawEvent> event = splitter.next()) {
        if (!event->wellFormed || !event->id) {
            return false;
        }
        // After a resumption an upstream may repeat events that the caller has.
        if (*event->id > m_lastEventId) {
            m_lastEventId = *event->id;
            m_bytes += event->bytes;
        }
    }
    return true;
}

bool EventBatch::empty() const
{
    return m_bytes.empty();
}

const std::string &EventBatch::bytes() const
{
    return m_bytes;
}

std::uint64_t EventBatch::lastEventId() const
{
    return m_lastEventId;
}

}
