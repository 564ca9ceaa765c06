#include "Property.h"

#include "Telemetry/TraceContext.h"

using namespace Mangofall;

TEST_GROUP(TraceContextTest){};

// Guards against a trace that breaks because a host changes the identifiers on the way.
TEST(TraceContextTest, SurvivesTheHeader)
{
    Testing::checkProperty("trace contexts survive the header", [](std::uint64_t seed) {
        RandomEngine random(seed);
        const TraceContext root = makeRootContext(random);
        const TraceContext child = makeChildContext(root, random);
        RC_ASSERT(traceContextFromHeader(toHeader(child)) == child);
        RC_ASSERT(child.traceHigh == root.traceHigh && child.traceLow == root.traceLow && child.span != root.span);
    });
}

// Guards against joining requests of different callers under an invalid trace id.
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
