#include "Property.h"

#include "Telemetry/TraceContext.h"

using namespace Mangofall;

TEST_GROUP(TraceContextTest){};

// Guards against a trace that is broken because formatting or parsing changes its ids.
TEST(TraceContextTest, HeaderPreservesTheContext)
{
    Testing::checkProperty("trace contexts are unchanged by formatting and parsing the header", [](std::uint64_t seed) {
        RandomEngine random(seed);
        const TraceContext root = makeRootContext(random);
        const TraceContext child = makeChildContext(root, random);
        RC_ASSERT(traceContextFromHeader(toHeader(child)) == child);
        RC_ASSERT(child.traceHigh == root.traceHigh && child.traceLow == root.traceLow && child.span != root.span);
    });
}

// Guards against requests of different callers that share one trace because an invalid trace id is accepted.
TEST(TraceContextTest, RejectsMalformedHeaders)
{
    const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    CHECK(traceContextFromHeader(valid).has_value());
    CHECK_FALSE(traceContextFromHeader(valid + "0").has_value());
    CHECK_FALSE(traceContextFromHeader("01" + valid.substr(2)).has_value());
    CHECK_FALSE(traceContextFromHeader("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
    CHECK_FALSE(traceContextFromHeader("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01").has_value());
    CHECK_FALSE(traceContextFromHeader("00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01").has_value());
}
