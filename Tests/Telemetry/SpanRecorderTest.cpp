#include "Property.h"

#include "Telemetry/SpanRecorder.h"

#include <nlohmann/json.hpp>

using namespace Mangofall;

TEST_GROUP(SpanRecorderTest){};

// Guards against an export that collectors reject or that loses the link between parent and child spans.
TEST(SpanRecorderTest, ExportsParentAndTraceIds)
{
    Span span;
    span.name = "dispatch";
    span.context = *traceContextFromHeader("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    span.parentSpanId = 0x00f067aa0ba902b7;
    span.attributes = {{"upstream", "engine-1"}};
    const auto json = nlohmann::json::parse(toOtlpJson({span}, "mangofalld", "host-1"));
    const auto &exported = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(exported["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    CHECK(exported["spanId"] == "b7ad6b7169203331");
    CHECK(exported["parentSpanId"] == "00f067aa0ba902b7");
    CHECK(exported["attributes"][0]["value"]["stringValue"] == "engine-1");
    CHECK(json["resourceSpans"][0]["resource"]["attributes"][1]["value"]["stringValue"] == "host-1");
}

// Guards against a request id that is not valid UTF-8 and ends the process through an exception in the export.
TEST(SpanRecorderTest, ReplacesInvalidUtf8)
{
    Span span;
    span.attributes = {{"request.id", "\x8d\xe3"}};
    const auto json = nlohmann::json::parse(toOtlpJson({span}, "mangofalld", "host-1"));
    CHECK(json["resourceSpans"][0]["scopeSpans"][0]["spans"].size() == 1);
}
