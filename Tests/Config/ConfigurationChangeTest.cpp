#include "Config/FleetGenerators.h"

#include <algorithm>

using namespace Mangofall;

TEST_GROUP(ConfigurationChangeTest){};

// Guards against a revision without a preset in force, a revision that is skipped or repeated, and a rejected change that modifies the configuration.
TEST(ConfigurationChangeTest, ExactlyOnePresetIsInForceAtEachRevision)
{
    Testing::checkProperty("each accepted change makes the next revision with one preset in force", [] {
        FleetConfiguration configuration = Testing::exampleConfiguration();
        const int count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index) {
            const ConfigurationChange change = *Testing::anyChange("c" + std::to_string(index));
            ChangeOutcome outcome = applyChange(configuration, change, WallTime());
            if (const auto *reason = std::get_if<std::string>(&outcome)) {
                RC_ASSERT(!reason->empty());
                continue;
            }
            FleetConfiguration next = std::get<FleetConfiguration>(std::move(outcome));
            RC_ASSERT(next.revision == configuration.revision + 1);
            RC_ASSERT(next.recentChanges.back().id == change.id);
            RC_ASSERT(next.recentChanges.back().revision == next.revision);
            RC_ASSERT(next.presets.contains(next.presetInForce));
            const bool switched = std::holds_alternative<UsePreset>(change.action);
            RC_ASSERT(switched || next.presetInForce == configuration.presetInForce);
            configuration = std::move(next);
        }
    });
}

// Guards against a fleet file that is applied during an incident and thereby returns a data centre to service or switches the preset.
TEST(ConfigurationChangeTest, ReplacingTheFleetKeepsWhatOperatorsSet)
{
    FleetConfiguration configuration = Testing::exampleConfiguration();
    for (const ConfigurationChange &change : {ConfigurationChange{ChangeId("1"), UsePreset{PresetName("peak")}},
                                              ConfigurationChange{ChangeId("2"), TakeOut{DataCentreId("poa")}},
                                              ConfigurationChange{ChangeId("3"), TakeOut{UpstreamId("engine-1")}}}) {
        configuration = std::get<FleetConfiguration>(applyChange(configuration, change, WallTime()));
    }
    configuration = std::get<FleetConfiguration>(applyChange(configuration, {ChangeId("4"), ReplaceFleet{Testing::exampleFleet()}}, WallTime()));
    CHECK(configuration.presetInForce == PresetName("peak"));
    CHECK(configuration.outOfService.dataCentres.contains(DataCentreId("poa")));
    CHECK(configuration.outOfService.upstreams.contains(UpstreamId("engine-1")));
    DeclaredFleet withoutPeak = Testing::exampleFleet();
    withoutPeak.presets.erase(PresetName("peak"));
    CHECK(std::holds_alternative<std::string>(applyChange(configuration, {ChangeId("5"), ReplaceFleet{withoutPeak}}, WallTime())));
}

// Guards against a change with a misspelt name that is accepted without taking anything out of service.
TEST(ConfigurationChangeTest, RejectsUnknownTargets)
{
    const FleetConfiguration configuration = Testing::exampleConfiguration();
    for (const ServiceUnit &unit : {ServiceUnit(DataCentreId("pao")), ServiceUnit(UpstreamId("engine-2"))}) {
        CHECK(std::holds_alternative<std::string>(applyChange(configuration, {ChangeId("x"), TakeOut{unit}}, WallTime())));
    }
    CHECK(std::holds_alternative<std::string>(applyChange({}, {ChangeId("x"), UsePreset{PresetName("peak")}}, WallTime())));
}

// Guards against a history that grows without bound; it is part of the root, which is pushed to every host.
TEST(ConfigurationChangeTest, TheHistoryIsBounded)
{
    FleetConfiguration configuration = Testing::exampleConfiguration();
    for (std::size_t index = 0; index < 2 * maxRecentChanges; ++index) {
        const ConfigurationChange change{ChangeId("c" + std::to_string(index)), UsePreset{PresetName("peak")}};
        configuration = std::get<FleetConfiguration>(applyChange(configuration, change, WallTime()));
    }
    LONGS_EQUAL(maxRecentChanges, configuration.recentChanges.size());
    LONGS_EQUAL(2 * maxRecentChanges + 1, configuration.recentChanges.back().revision);
}
