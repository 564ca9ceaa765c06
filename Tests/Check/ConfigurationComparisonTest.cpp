#include "Check/CheckReport.h"

#include "CheckFixtures.h"

#include "Property.h"

#include <sstream>

using namespace Mangofall;
using namespace Mangofall::Check;
using namespace Mangofall::Forwarding;
using Mangofall::Testing::checkedConfiguration;
using Mangofall::Testing::checkedRoute;

TEST_GROUP(ConfigurationComparisonTest){};

// Guards against a difference that is not reported, a wrong statement of who loses access, and an order that depends on the order of the entries.
TEST(ConfigurationComparisonTest, EachDifferenceIsReportedOnce)
{
    const ForwardingConfiguration before = checkedConfiguration();
    CHECK(compare(before, before).empty());
    ForwardingConfiguration after = before;
    after.routes = {checkedRoute("c"), checkedRoute("b")};
    after.routes[1].timeout = std::chrono::seconds(5);
    after.services.push_back({ServiceId("t"), 0, {}});
    after.organisations[0].priority = 2;
    after.organisations[0].credentials = {"secret-3"};
    after.organisations[1].credentials = {"secret-2", "secret-4"};
    after.callerLimits.headerBytes = 1000;
    std::ostringstream text;
    printText({{}, compare(before, after)}, text);
    STRCMP_EQUAL("removed route a\n"
                 "  effect: callers of o, p lose access to h.example /a/\n"
                 "changed route b\n"
                 "  timeout: 10000 ms -> 5000 ms\n"
                 "added route c\n"
                 "added service t\n"
                 "changed organisation o\n"
                 "  priority: that of the route -> 2\n"
                 "removed key o key 1\n"
                 "  effect: callers of o with this key lose access to private routes\n"
                 "added key p key 2\n"
                 "changed key p key 2\n"
                 "  organisation: p -> o\n"
                 "changed limits callers\n"
                 "  header size: 16384 bytes -> 1000 bytes\n"
                 "valid: 0 errors, 0 warnings\n",
                 text.str().c_str());
}

// Guards against alarming operators about a removed route whose requests another route takes, and against missing a route that is no longer public.
TEST(ConfigurationComparisonTest, AccessIsJudgedByTheRouteThatMatches)
{
    ForwardingConfiguration before = checkedConfiguration();
    before.routes[0].isPublic = true;
    ForwardingConfiguration after = before;
    after.routes[0].isPublic = false;
    STRCMP_EQUAL("callers without a key lose access to h.example /a/", compare(before, after)[0].effect.c_str());
    after.routes[0] = checkedRoute("all");
    after.routes[0].pathPrefix = "/";
    after.routes[0].isPublic = true;
    STRCMP_EQUAL("its requests go to route all", compare(before, after)[0].effect.c_str());
}
