#pragma once

#include "Property.h"

#include "Base/Sha256.h"
#include "Config/ConfigurationChange.h"

namespace Mangofall::Testing {

/// A fixed fleet for examples: two presets, one organisation, one engine in `poa`, one instance of the service `orders` and its route.
inline DeclaredFleet exampleFleet()
{
    DeclaredFleet fleet;
    for (const char *name : {"ordinary", "peak"}) {
        fleet.presets[PresetName(name)].name = PresetName(name);
    }
    fleet.organisations[OrganisationId("kiosk")] = {OrganisationId("kiosk"), sha256Hex("key"), 2, 10, 100'000};
    UpstreamSpec &engine = fleet.upstreams[UpstreamId("engine-1")];
    engine.id = UpstreamId("engine-1");
    engine.dataCentre = DataCentreId("poa");
    engine.address = "127.0.0.1";
    engine.port = 9000;
    engine.model = ModelId("m");
    UpstreamSpec &serviceInstance = fleet.upstreams[UpstreamId("orders-1")];
    serviceInstance = engine;
    serviceInstance.id = UpstreamId("orders-1");
    serviceInstance.port = 9001;
    serviceInstance.kind = UpstreamKind::Service;
    serviceInstance.model = ModelId();
    serviceInstance.service = ServiceId("orders");
    RouteSpec route;
    route.pathPrefix = "/orders";
    route.service = ServiceId("orders");
    route.idempotent = false;
    fleet.routes.push_back(route);
    fleet.initialPreset = PresetName("ordinary");
    return fleet;
}

/// The configuration at revision 1 that declares the example fleet.
inline FleetConfiguration exampleConfiguration()
{
    return std::get<FleetConfiguration>(applyChange({}, {ChangeId("first"), ReplaceFleet{exampleFleet()}}, WallTime()));
}

inline rc::Gen<Preset> anyPreset(const std::string &name)
{
    return rc::gen::exec([name] {
        Preset preset;
        preset.name = PresetName(name);
        preset.routing = *rc::gen::element(RoutingPolicy::EstimatedFirstToken, RoutingPolicy::RoundRobin, RoutingPolicy::LeastInFlight);
        preset.shortWeight = *rc::gen::inRange(0, 1'000'001) / 1e6;
        preset.choices = *rc::gen::inRange(1, 65);
        preset.queueLimit = *rc::gen::inRange(1, 100'001);
        preset.shortDeadline = std::chrono::milliseconds(*rc::gen::inRange(1, 1'000'000));
        preset.longDeadline = std::chrono::milliseconds(*rc::gen::inRange(1, 80'000'000));
        preset.retryRatio = *rc::gen::inRange(0, 1001) / 1e3;
        preset.minLongShare = *rc::gen::inRange(0, 1001) / 1e3;
        preset.admitModelRequests = *rc::gen::arbitrary<bool>();
        return preset;
    });
}

/// A valid fleet: the example fleet with up to five more elements per section, whose fields have random allowed values.
inline rc::Gen<DeclaredFleet> anyFleet()
{
    return rc::gen::exec([] {
        DeclaredFleet fleet = exampleFleet();
        const int size = *rc::gen::inRange(0, 6);
        for (int index = 0; index < size; ++index) {
            const std::string suffix = std::to_string(index);
            fleet.presets[PresetName("p" + suffix)] = *anyPreset("p" + suffix);
            const OrganisationId organisation("o" + suffix);
            fleet.organisations[organisation] = {organisation,
                                                 sha256Hex(suffix),
                                                 *rc::gen::inRange<std::uint32_t>(1, 1000),
                                                 *rc::gen::inRange(0, 1'000'000) / 7.0,
                                                 *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000'000)};
            UpstreamSpec upstream = fleet.upstreams.at(UpstreamId("engine-1"));
            upstream.id = UpstreamId("u" + suffix);
            upstream.address = *rc::gen::element<std::string>("10.1.2.3", "fd00::1");
            upstream.port = static_cast<std::uint16_t>(100 + index);
            upstream.dataCentre = DataCentreId(*rc::gen::element<std::string>("poa", "cwb"));
            upstream.maxRequests = *rc::gen::inRange<std::uint32_t>(1, 1000);
            upstream.coldRequests = *rc::gen::inRange<std::uint32_t>(1, upstream.maxRequests + 1);
            upstream.memoryTokens = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
            upstream.checksFencing = *rc::gen::arbitrary<bool>();
            fleet.upstreams[upstream.id] = upstream;
            RouteSpec route = fleet.routes.front();
            route.pathPrefix += "/" + suffix;
            route.idempotent = *rc::gen::arbitrary<bool>();
            route.statusPath = *rc::gen::element<std::string>("", "/status/");
            route.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 1'000'000));
            fleet.routes.push_back(route);
        }
        return fleet;
    });
}

/// A random change for a configuration made from the example fleet. Some of the changes are invalid, to test that they are rejected.
inline rc::Gen<ConfigurationChange> anyChange(const std::string &id)
{
    return rc::gen::exec([id] {
        ConfigurationChange change{ChangeId(id), UsePreset{PresetName(*rc::gen::element<std::string>("ordinary", "peak", "p0", "p1", "absent"))}};
        const ServiceUnit unit
            = *rc::gen::element<ServiceUnit>(DataCentreId("poa"), DataCentreId("absent"), HostId("h"), UpstreamId("engine-1"), UpstreamId("u0"));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            change.action = PutPreset{*anyPreset(*rc::gen::element<std::string>("ordinary", "p0", "p9"))};
            break;
        case 1:
            change.action = TakeOut{unit};
            break;
        case 2:
            change.action = Restore{unit};
            break;
        case 3: {
            DeclaredFleet fleet = *anyFleet();
            if (*rc::gen::arbitrary<bool>()) {
                fleet.presets.erase(PresetName("peak"));
            }
            change.action = ReplaceFleet{fleet};
            break;
        }
        default:
            break;
        }
        return change;
    });
}

}
