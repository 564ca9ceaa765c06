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
 * \brief Structured log of decisions: one JSON object per line, written to standard output without ever blocking.
 *
 * Lines beyond the rate limit and lines that the output does not take are dropped and counted; the count is logged with the next line.
 */
class EventLog
{
public:
    using Fields = std::vector<std::pair<std::string_view, std::string>>;

    /// \p host is named in every line; \p linesPerSecond bounds the volume. \p sink must outlive the log.
    EventLog(std::string host, double linesPerSecond, LineSink &sink);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(std::string_view event, const Fields &fields);

    std::uint64_t dropped() const;

private:
    bool takeToken();

    std::string m_host;
    double m_linesPerSecond;
    double m_tokens;
    TimePoint m_tokensAt;
    LineSink &m_sink;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedLogged = 0;
};

}
