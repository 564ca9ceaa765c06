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
 * record() may be called from any thread; it locks a mutex once per hop, never per token. flush() must always be called on the same thread.
 * Spans beyond the buffer's limit are dropped and counted, so that a slow file never delays requests.
 */
class SpanRecorder
{
public:
    /// An empty \p file disables the export; \p serviceName and \p hostName become resource attributes.
    SpanRecorder(std::string file, std::string serviceName, std::string hostName);

    /// Buffers \p span for the next flush() if the export is enabled and the trace is sampled.
    void record(Span span);

    /// Appends the spans recorded since the last call to the file.
    std::error_code flush();

    /// Number of spans dropped since construction because the buffer was full.
    std::size_t droppedSpans() const;

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
