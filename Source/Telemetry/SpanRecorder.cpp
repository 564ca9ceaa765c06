#include "Telemetry/SpanRecorder.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace Mangofall {

namespace {

constexpr std::size_t maxBufferedSpans = 10'000;
// Values of the enumerations SpanKind and StatusCode in OTLP.
constexpr int spanKindServer = 2;
constexpr int statusOk = 1;
constexpr int statusError = 2;
// Layout of the W3C traceparent header: 32 hexadecimal digits of trace id at offset 3, 16 of span id at offset 36.
constexpr std::size_t traceIdOffset = 3;
constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdOffset = 36;
constexpr std::size_t spanIdLength = 16;

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

std::string spanIdText(std::uint64_t span)
{
    TraceContext context;
    context.span = span;
    return toHeader(context).substr(spanIdOffset, spanIdLength);
}

nlohmann::json toJson(const Span &span)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto &[key, value] : span.attributes) {
        attributes.push_back(attribute(key, value));
    }
    nlohmann::json json = {
        {"traceId", toHeader(span.context).substr(traceIdOffset, traceIdLength)},
        {"spanId", spanIdText(span.context.span)},
        {"name", span.name},
        {"kind", spanKindServer},
        {"startTimeUnixNano", nanoseconds(span.start)},
        {"endTimeUnixNano", nanoseconds(span.end)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", span.failed ? statusError : statusOk}}},
    };
    if (span.parentSpanId != 0) {
        json["parentSpanId"] = spanIdText(span.parentSpanId);
    }
    return json;
}

}

SpanRecorder::SpanRecorder(std::string file, std::string serviceName, std::string hostName)
    : m_file(std::move(file))
    , m_serviceName(std::move(serviceName))
    , m_hostName(std::move(hostName))
{
}

void SpanRecorder::record(Span span)
{
    if (m_file.empty() || !span.context.sampled) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_spans.size() >= maxBufferedSpans) {
        ++m_dropped;
        return;
    }
    m_spans.push_back(std::move(span));
}

std::error_code SpanRecorder::flush()
{
    std::vector<Span> spans;
    {
        const std::lock_guard lock(m_mutex);
        spans.swap(m_spans);
    }
    if (spans.empty()) {
        return {};
    }
    std::ofstream stream(m_file, std::ios::app);
    stream << toOtlpJson(spans, m_serviceName, m_hostName) << '\n';
    return stream.good() ? std::error_code() : std::make_error_code(std::errc::io_error);
}

std::size_t SpanRecorder::droppedSpans() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string toOtlpJson(const std::vector<Span> &spans, const std::string &serviceName, const std::string &hostName)
{
    nlohmann::json spanArray = nlohmann::json::array();
    for (const Span &span : spans) {
        spanArray.push_back(toJson(span));
    }
    const nlohmann::json resource = {{"attributes", {attribute("service.name", serviceName), attribute("host.name", hostName)}}};
    const nlohmann::json scopeSpans = {{{"scope", {{"name", "mangofall"}}}, {"spans", std::move(spanArray)}}};
    return nlohmann::json{{"resourceSpans", {{{"resource", resource}, {"scopeSpans", scopeSpans}}}}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
