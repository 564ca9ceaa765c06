#include "Config/FleetGenerators.h"

#include "Config/ChangeAnswer.h"
#include "Config/ConfigurationRoot.h"
#include "Config/FleetJson.h"

#include <nlohmann/json.hpp>

using namespace Mangofall;
using nlohmann::json;

namespace {

struct InvalidFleet {
    const char *pointer;
    json value; ///< Null removes the field.
    const char *path;
};

const std::vector<InvalidFleet> &invalidFleets()
{
    static const std::vector<InvalidFleet> table = {
        {"/presets/0/name", nullptr, "presets[0].name"},
        {"/presets/0/routing", "random", "presets[0].routing"},
        {"/presets/0/shortWeight", 1.5, "presets[0].shortWeight"},
        {"/presets/0/choices", 0, "presets[0].choices"},
        {"/presets/0/longDeadlineMs", 0, "presets[0].longDeadlineMs"},
        {"/presets/0/retries", 3, "presets[0].retries"},
        {"/presets/1/name", "ordinary", "presets[1].name"},
        {"/presets", json::array(), "presets"},
        {"/initialPreset", "absent", "initialPreset"},
        {"/organisations/0/apiKeyHash", "secret", "organisations[0].apiKeyHash"},
        {"/organisations/0/requestsPerSecond", -1, "organisations[0].requestsPerSecond"},
        {"/organisations/0/weight", 0, "organisations[0].weight"},
        {"/upstreams/0/port", 0, "upstreams[0].port"},
        {"/upstreams/0/address", "0.0.0.0", "upstreams[0].address"},
        {"/upstreams/0/model", nullptr, "upstreams[0].model"},
        {"/upstreams/0/service", "orders", "upstreams[0].service"},
        {"/upstreams/0/coldRequests", 33, "upstreams[0].coldRequests"},
        {"/upstreams/0/coldPrefillTokens", 1'000'001, "upstreams[0].coldPrefillTokens"},
        {"/upstreams/1/port", 9000, "upstreams"},
        {"/routes/0/pathPrefix", "orders", "routes[0].pathPrefix"},
        {"/routes/0/service", "stock", "routes[0].service"},
        {"/revision", 3, "revision"},
    };
    return table;
}

}

TEST_GROUP(FleetJsonTest){};

// Guards against a field that is lost or changed when a document is encoded to a file or the store and decoded again.
TEST(FleetJsonTest, DocumentsSurviveARoundTrip)
{
    Testing::checkProperty("fleets, changes and configurations survive encoding and decoding", [] {
        const DeclaredFleet fleet = *Testing::anyFleet();
        ConfigurationProblems problems;
        RC_ASSERT(readDeclaredFleet(encodeDeclaredFleet(fleet).dump(), problems) == fleet);
        const ConfigurationChange change = *Testing::anyChange("c");
        RC_ASSERT(decodeChange(encodeChange(change).dump(), problems) == change);
        FleetConfiguration configuration = std::get<FleetConfiguration>(applyChange({}, {ChangeId("a"), ReplaceFleet{fleet}}, WallTime()));
        configuration.outOfService.hosts.insert(HostId("h"));
        RC_ASSERT(decodeFleetConfiguration(encodeFleetConfiguration(configuration).dump(), problems) == configuration);
        const SplitConfiguration split = splitConfiguration(configuration);
        const std::optional<ConfigurationRoot> root = decodeRoot(encodeRoot(split.root), problems);
        RC_ASSERT(root == split.root);
        RC_ASSERT(joinConfiguration(*root, split.blobs, problems) == configuration);
        RC_ASSERT(problems.empty());
    });
}

// Guards against an answer whose result, revision or reason is lost in encoding or decoding.
TEST(FleetJsonTest, ChangeAnswersSurviveARoundTrip)
{
    for (const ChangeAnswer &answer : {ChangeAnswer{ChangeId("a"), ChangeResult::Accepted, 7, {}},
                                       ChangeAnswer{ChangeId("b"), ChangeResult::Rejected, 0, "no \"x\"\n"},
                                       ChangeAnswer{ChangeId("c"), ChangeResult::Unresolved, 0, {}}}) {
        ConfigurationProblems problems;
        CHECK(decodeChangeAnswer(encodeChangeAnswer(answer).dump(), problems) == answer);
    }
}

// Guards against an invalid fleet file that is accepted, or refused with a problem at another field than the invalid one.
TEST(FleetJsonTest, RefusesEachInvalidFleet)
{
    for (const InvalidFleet &invalid : invalidFleets()) {
        json document = encodeDeclaredFleet(Testing::exampleFleet());
        const json::json_pointer pointer(invalid.pointer);
        if (invalid.value.is_null()) {
            document.at(pointer.parent_pointer()).erase(pointer.back());
        } else {
            document[pointer] = invalid.value;
        }
        ConfigurationProblems problems;
        CHECK_TEXT(!readDeclaredFleet(document.dump(2), problems).has_value(), invalid.pointer);
        const std::string text = describe(problems, "fleet.json");
        CHECK_TEXT(text.find(": " + std::string(invalid.path) + ": ") != std::string::npos, text.c_str());
    }
}

// Guards against accepting a change with two targets or none, which could take another unit out of service than the operator meant.
TEST(FleetJsonTest, RefusesChangesWithoutExactlyOneTarget)
{
    for (const char *text : {R"({"id":"a","kind":"take-out"})",
                             R"({"id":"a","kind":"take-out","host":"h","upstream":"u"})",
                             R"({"id":"a","kind":"take-out","host":"h","preset":"p"})",
                             R"({"id":"a","kind":"remove","host":"h"})",
                             R"({"kind":"restore","host":"h"})",
                             R"({"id":"a","kind":"use-preset","host":"h"})"}) {
        ConfigurationProblems problems;
        CHECK_TEXT(!decodeChange(text, problems).has_value(), text);
        CHECK_TEXT(!problems.empty(), text);
    }
}
