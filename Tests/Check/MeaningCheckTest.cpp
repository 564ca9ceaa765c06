#include "Check/MeaningCheck.h"

#include "CheckFixtures.h"
#include "Forwarding/RouteTable.h"

#include "Property.h"

#include <functional>
#include <set>

using namespace Mangofall;
using namespace Mangofall::Check;
using namespace Mangofall::Forwarding;
using Mangofall::Testing::checkedConfiguration;
using Mangofall::Testing::checkedRoute;

TEST_GROUP(MeaningCheckTest){};

// Guards against a warning that is missing, has another code or names another field.
TEST(MeaningCheckTest, EachContradictionIsFound)
{
    struct Case {
        const char *code;
        Section section;
        std::size_t index;
        Field field;
        std::function<void(ForwardingConfiguration &)> change;
    };
    const std::vector<Case> cases{
        {"route-never-matches",
         Section::Route,
         0,
         Field::Whole,
         [](auto &c) {
             c.routes[1].pathPrefix = "/a/";
         }},
        {"route-never-matches",
         Section::Route,
         1,
         Field::PathPrefix,
         [](auto &c) {
             c.routes[1].pathPrefix = "/b";
         }},
        {"route-never-matches",
         Section::Route,
         1,
         Field::HostName,
         [](auto &c) {
             c.routes[1].hostName = "h:80";
         }},
        {"limit-allows-nothing",
         Section::Route,
         0,
         Field::MaxRuns,
         [](auto &c) {
             c.routes[0].maxRuns = 0;
         }},
        {"target-over-timeout",
         Section::Route,
         0,
         Field::Target,
         [](auto &c) {
             c.routes[0].target = std::chrono::seconds(11);
         }},
        {"pause-over-timeout",
         Section::Route,
         0,
         Field::PauseLimit,
         [](auto &c) {
             c.routes[0].pauseLimit = std::chrono::seconds(11);
         }},
        {"attempts-over-timeout",
         Section::Route,
         0,
         Field::MaxRuns,
         [](auto &c) {
             c.routes[0].maxRuns = 11;
         }},
        {"service-without-route",
         Section::Service,
         1,
         Field::Whole,
         [](auto &c) {
             c.services.push_back({ServiceId("t"), 0, {}});
         }},
        {"quota-below-request",
         Section::Service,
         0,
         Field::EngineMemory,
         [](auto &c) {
             c.services[0].engine = Placement::EngineSpec{1, 100};
         }},
        {"quota-below-request",
         Section::Service,
         0,
         Field::ColdRate,
         [](auto &c) {
             c.services[0].coldRequestsPerSecond = 0.05;
         }},
        {"organisation-without-key",
         Section::Organisation,
         0,
         Field::Credentials,
         [](auto &c) {
             c.organisations[0].credentials.clear();
         }},
        {"header-time-over-idle-time",
         Section::Limits,
         0,
         Field::HeaderTimeout,
         [](auto &c) {
             c.callerLimits.idleTimeout = std::chrono::seconds(1);
         }},
        {"limit-allows-nothing",
         Section::Limits,
         0,
         Field::BodyBytes,
         [](auto &c) {
             c.callerLimits.bodyBytes = 0;
         }},
    };
    CHECK(checkMeaning(checkedConfiguration()).empty());
    for (const Case &test : cases) {
        ForwardingConfiguration configuration = checkedConfiguration();
        test.change(configuration);
        const std::vector<MeaningWarning> warnings = checkMeaning(configuration);
        LONGS_EQUAL_TEXT(1, warnings.size(), test.code);
        STRCMP_EQUAL(test.code, warnings[0].code.c_str());
        const ConfigurationPlace &place = warnings[0].place;
        CHECK_TEXT(place.section == test.section && place.index == test.index && place.field == test.field, test.code);
    }
}

// Guards against a route that is reported as never matching although the hosts use it, or the reverse.
TEST(MeaningCheckTest, TheHostsAgreeOnRoutesThatNeverMatch)
{
    Mangofall::Testing::checkProperty("a route without a warning is found by its own address", [](const std::vector<std::uint8_t> &bytes) {
        const std::vector<std::string> prefixes{"/", "/a/", "/a/b/", "/a", "", "a/"};
        ForwardingConfiguration configuration;
        for (const std::uint8_t byte : bytes) {
            RouteRule route = checkedRoute("r");
            route.hostName = byte % 2 == 0 ? "h" : "i";
            route.pathPrefix = prefixes[byte / 2 % prefixes.size()];
            configuration.routes.push_back(route);
        }
        std::set<std::size_t> warned;
        for (const MeaningWarning &warning : checkMeaning(configuration)) {
            if (warning.code == "route-never-matches") {
                warned.insert(warning.place.index);
            }
        }
        const RouteTable table(configuration);
        for (std::size_t index = 0; index < bytes.size(); ++index) {
            const RouteRule &route = table.configuration().routes[index];
            // Requests have a path that starts with a slash.
            const bool matches = route.pathPrefix.starts_with('/') && table.findRoute(route.hostName, route.pathPrefix + "x") == &route;
            RC_ASSERT(matches == !warned.contains(index));
        }
    });
}
