#include "Config/FleetGenerators.h"

#include "Config/ConfigurationRoot.h"

#include <algorithm>

using namespace Mangofall;

namespace {

DeclaredFleet largeFleet()
{
    constexpr int organisations = 11'000;
    constexpr int upstreams = 10'000;
    DeclaredFleet fleet = Testing::exampleFleet();
    for (int index = 0; index < organisations; ++index) {
        const OrganisationId id("organisation-" + std::to_string(index) + std::string(40, 'x'));
        fleet.organisations[id] = {id, sha256Hex(id.value()), 1, 100.5, 1'000'000};
    }
    for (int index = 0; index < upstreams; ++index) {
        UpstreamSpec upstream = fleet.upstreams.at(UpstreamId("engine-1"));
        upstream.id = UpstreamId("upstream-" + std::to_string(index));
        upstream.port = static_cast<std::uint16_t>(10'000 + index);
        fleet.upstreams[upstream.id] = upstream;
    }
    return fleet;
}

std::size_t newBlobs(const SplitConfiguration &before, const SplitConfiguration &after)
{
    return missingBlobs(after.root, before.blobs).size();
}

}

TEST_GROUP(ConfigurationRootTest){};

// Guards against a stored value above the store's limit at the fleet size that the design assumes, and against a small change that rewrites the whole
// configuration.
TEST(ConfigurationRootTest, ElevenThousandOrganisationsFitAndASmallChangeWritesLittle)
{
    FleetConfiguration configuration = std::get<FleetConfiguration>(applyChange({}, {ChangeId("a"), ReplaceFleet{largeFleet()}}, WallTime()));
    for (std::size_t index = 0; index < maxRecentChanges + 1; ++index) {
        const ConfigurationChange change{ChangeId(std::string(120, 'c') + std::to_string(index)), UsePreset{PresetName("peak")}};
        configuration = std::get<FleetConfiguration>(applyChange(configuration, change, WallTime()));
    }
    const SplitConfiguration before = splitConfiguration(configuration);
    CHECK(encodeRoot(before.root).size() <= maxStoreValueBytes);
    CHECK(before.blobs.size() > 2);
    for (const auto &[hash, text] : before.blobs) {
        CHECK(text.size() <= maxStoreValueBytes);
    }
    ConfigurationProblems problems;
    CHECK(joinConfiguration(before.root, before.blobs, problems) == configuration);

    const OrganisationId added("organisation-5");
    configuration.organisations[added] = {added, sha256Hex("new"), 1, 0, 0};
    CHECK(newBlobs(before, splitConfiguration(configuration)) <= 2);
}

// Guards against joining a root whose blobs are missing or have other content or whose preset in force does not exist, and against decoding a list of
// recent changes with a gap.
TEST(ConfigurationRootTest, RefusesToJoinWrongParts)
{
    const SplitConfiguration split = splitConfiguration(Testing::exampleConfiguration());
    for (const auto &[hash, text] : split.blobs) {
        ConfigurationProblems problems;
        ConfigurationBlobs blobs = split.blobs;
        blobs[hash] += " ";
        CHECK_FALSE(joinConfiguration(split.root, blobs, problems).has_value());
        blobs.erase(hash);
        CHECK_FALSE(joinConfiguration(split.root, blobs, problems).has_value());
    }
    ConfigurationRoot root = split.root;
    root.presetInForce = PresetName("absent");
    ConfigurationProblems problems;
    CHECK_FALSE(joinConfiguration(root, split.blobs, problems).has_value());
    root = split.root;
    root.recentChanges.front().revision = 9;
    CHECK_FALSE(decodeRoot(encodeRoot(root), problems).has_value());
}
