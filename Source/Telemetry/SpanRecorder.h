#pragma once

#include "Telemetry/Span.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <vector>

namespace Mangofall {

/**
 * \class SpanRecorder
 * \brief Collects finished spans and appends them to a file as OTLP JSON, one export request per line.
 *
 * record() may be called from any thread; it takes a lock once per hop, never per token. flush() is for one thread.
 * Spans beyond the buffer's limit are dropped and counted, so that a slow file never blocks traffic.
 */
class SpanRecorder
{
public:
    /// \p file is empty for no export; \p serviceName and \p hostName become resource attributes.
    SpanRecorder(std::string file, std::string serviceName, std::string hostName);

    void record(Span span);

    /// Writes what was recorded since the last call.
    std::error_code flush();

    std::size_t dropped() const;

private:
    std::string m_file;
    std::string m_serviceName;
    std::string m_hostName;
    mutable std::mutex m_mutex;
    std::vector<Span> m_spans;
    std::size_t m_dropped = 0;
};

/// Formats \p spans as one OTLP/JSON trace export request.
std::string toOtlpJson(const std::vector<Span> &spans, const std::string &serviceName, const std::string &hostName);

}
