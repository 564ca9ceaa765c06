#include "Telemetry/EventLog.h"

#include "Telemetry/LineSink.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Mangofall {

namespace {

// Largest burst after an idle period, in seconds at the configured rate of lines.
constexpr double burstSeconds = 5;

void appendQuoted(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(character));
            line += escape.data();
        } else {
            line += character;
        }
    }
    line += '"';
}

void appendField(std::string &line, std::string_view name, std::string_view value)
{
    line += ',';
    appendQuoted(line, name);
    line += ':';
    appendQuoted(line, value);
}

}

EventLog::EventLog(std::string host, double linesPerSecond, LineSink &sink)
    : m_host(std::move(host))
    , m_linesPerSecond(linesPerSecond)
    , m_tokens(linesPerSecond * burstSeconds)
    , m_tokensUpdatedAt(std::chrono::steady_clock::now())
    , m_sink(sink)
{
}

EventLog::~EventLog() = default;

void EventLog::write(std::string_view event, const Fields &fields)
{
    if (!takeToken()) {
        ++m_dropped;
        return;
    }
    const auto wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    std::string line = "{\"time_ms\":" + std::to_string(wallTime.count());
    appendField(line, "host", m_host);
    appendField(line, "event", event);
    for (const auto &[name, value] : fields) {
        if (!value.empty()) {
            appendField(line, name, value);
        }
    }
    if (m_dropped > m_droppedReported) {
        appendField(line, "dropped_lines", std::to_string(m_dropped));
    }
    line += "}\n";
    if (m_sink.write(line)) {
        m_droppedReported = m_dropped;
    } else {
        ++m_dropped;
    }
}

std::uint64_t EventLog::droppedLines() const
{
    return m_dropped;
}

bool EventLog::takeToken()
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_tokens = std::min(m_linesPerSecond * burstSeconds, m_tokens + Seconds(now - m_tokensUpdatedAt).count() * m_linesPerSecond);
    m_tokensUpdatedAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
