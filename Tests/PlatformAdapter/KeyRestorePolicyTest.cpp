#include "KeyRestorePolicy.h"

#include "Feed/StoreItem.h"
#include "RewriteSpread.h"

#include "Property.h"

#include <string>

using namespace Mangofall;
using namespace Mangofall::Platform;
using Feed::StoreItem;
using std::chrono::milliseconds;

namespace {

StoreItem upstream(const std::string &state)
{
    const std::string value
        = R"({"service":"s","address":"127.0.0.1:1","zone":"a","version":"v","slots":1,"state":")" + state + R"(","cold_remaining_ms":0,"sequence":1})";
    return {"servers/u", value, 1, false};
}

StoreItem configuration(int version)
{
    return {"op/config", "{\"version\":" + std::to_string(version) + "}", 1, false};
}

StoreItem absent(const std::string &key)
{
    return {key, {}, 1, true};
}

}

TEST_GROUP(KeyRestorePolicyTest)
{
    KeyRestorePolicy policy;
};

// Guards against requests to upstreams that this host knows to be leaving or removed, and against losing those that the copy lacks.
TEST(KeyRestorePolicyTest, UpstreamsThatLeaveWinOverThoseThatAreReady)
{
    CHECK(policy.againstCopy(upstream("draining"), upstream("ready")).time == std::chrono::seconds(10));
    CHECK(policy.againstCopy(absent("servers/u"), upstream("ready")).time == std::chrono::seconds(10));
    CHECK(policy.againstCopy(upstream("ready"), upstream("draining")).time == Duration::zero());
    CHECK(policy.againstCopy(upstream("ready"), {"servers/u", "broken", 1, false}).time == Duration::zero());
    CHECK(policy.againstCopy(upstream("ready"), absent("servers/u")).time == milliseconds(2500));
    CHECK(policy.againstCopy(upstream("draining"), absent("servers/u")).time == Duration::zero());
    CHECK(policy.againstWrite(upstream("draining"), upstream("ready")) == Duration::zero());
}

// Guards against a host that goes back to an older configuration, and against one that never takes a newer one.
TEST(KeyRestorePolicyTest, OlderConfigurationsAreHeldBack)
{
    policy.setConfigurationVersion(7);
    CHECK(policy.againstCopy(configuration(7), configuration(6)).untilWritten);
    CHECK_FALSE(policy.againstCopy(configuration(7), configuration(8)).untilWritten);
    CHECK(policy.againstCopy(configuration(7), configuration(8)).time == Duration::zero());
    CHECK(policy.againstWrite(configuration(7), configuration(6)) == std::chrono::seconds(10));
    CHECK(policy.againstWrite(configuration(7), configuration(8)) == Duration::zero());
}

// Guards against a data centre that gets requests again because the copy is older than its evacuation.
TEST(KeyRestorePolicyTest, ADataCentreStaysOutOfService)
{
    const StoreItem out{"op/evacuate/a", "x", 1, false};
    CHECK(policy.againstCopy(out, absent("op/evacuate/a")).time == std::chrono::seconds(10));
    CHECK(policy.againstCopy(absent("op/evacuate/a"), out).time == Duration::zero());
}

// Guards against hosts that write all at once after a restore, or so late that their peers take them for lost.
TEST(KeyRestorePolicyTest, RewritesStayBelowTheRateOfTheStore)
{
    for (const std::size_t hosts : {1U, 30U, 300U, 700U}) {
        const double rate = static_cast<double>(hosts) * 2 / Seconds(rewriteWindow(hosts, 400)).count();
        CHECK(rate <= 200);
        CHECK(rewriteWindow(hosts, 400) <= std::chrono::seconds(8));
    }
}
