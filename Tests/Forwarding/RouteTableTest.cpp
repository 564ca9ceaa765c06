#include "Forwarding/RouteTable.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;

namespace {

RouteRule route(const std::string &name, const std::string &hostName, const std::string &prefix)
{
    RouteRule rule;
    rule.name = name;
    rule.hostName = hostName;
    rule.pathPrefix = prefix;
    rule.services = {{ServiceId("s"), 1}};
    return rule;
}

RouteTable table()
{
    ForwardingConfiguration configuration;
    configuration.routes = {route("all", "a.example", "/"), route("one", "a.example", "/one/"), route("deep", "a.example", "/one/two/")};
    configuration.organisations = {{OrganisationId("acme"), {"k1", "k2"}, std::nullopt}};
    return RouteTable(configuration);
}

}

TEST_GROUP(RouteTableTest){};

// Guards against a request that matches a less specific route than the longest configured prefix.
TEST(RouteTableTest, TheLongestPrefixWins)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("deep", routes.findRoute("a.example", "/one/two/x")->name.c_str());
    STRCMP_EQUAL("one", routes.findRoute("a.example", "/one/two")->name.c_str());
    STRCMP_EQUAL("one", routes.findRoute("a.example", "/one/")->name.c_str());
    STRCMP_EQUAL("all", routes.findRoute("a.example", "/onetwo")->name.c_str());
}

// Guards against a route that serves requests for another host name.
TEST(RouteTableTest, AnotherHostNameHasNoRoute)
{
    const RouteTable routes = table();
    POINTERS_EQUAL(nullptr, routes.findRoute("b.example", "/one/"));
    POINTERS_EQUAL(nullptr, routes.findRoute("a.example", ""));
}

// Guards against a credential that is taken for another organisation's, and an unknown credential that is accepted.
TEST(RouteTableTest, ACredentialNamesItsOrganisation)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("acme", routes.findOrganisation("k2")->id.value().c_str());
    POINTERS_EQUAL(nullptr, routes.findOrganisation("k3"));
    POINTERS_EQUAL(nullptr, routes.findOrganisation(""));
}
