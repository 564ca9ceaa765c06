#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Mangofall {

class LineSink;

/**
 * \class EventLog
 * \brief Structured log of events and decisions: one JSON object per line, written to a sink that never blocks.
 *
 * Lines above the rate limit and lines that the sink rejects are dropped and counted; the next line that is written carries the total count.
 */
class EventLog
{
public:
    using Fields = std::vector<std::pair<std::string_view, std::string>>;

    /// Every line names \p host; \p linesPerSecond limits the mean rate of lines. \p sink must outlive the log.
    EventLog(std::string host, double linesPerSecond, LineSink &sink);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes one line for \p event. Fields with an empty value are omitted.
    void write(std::string_view event, const Fields &fields);

    /// Number of lines dropped since construction.
    std::uint64_t droppedLines() const;

private:
    bool takeToken();

    std::string m_host;
    double m_linesPerSecond;
    double m_tokens;
    TimePoint m_tokensUpdatedAt;
    LineSink &m_sink;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

}
