#include "Config/FleetValidation.h"

#include "Config/DeclaredFleet.h"
#include "Config/JsonObjectReader.h"

#include <set>
#include <tuple>
#include <utility>

namespace Mangofall {

namespace {

void checkPresets(const DeclaredFleet &fleet, JsonObjectReader &reader)
{
    if (fleet.presets.empty()) {
        reader.addProblem("presets", "no preset", "at least one preset");
    }
    if (fleet.initialPreset.has_value() && !fleet.presets.contains(*fleet.initialPreset)) {
        reader.addProblem("initialPreset", "\"" + fleet.initialPreset->value() + "\"", "the name of a declared preset");
    }
}

void checkOrganisations(const DeclaredFleet &fleet, JsonObjectReader &reader)
{
    std::map<std::string_view, std::string_view> idsByKeyHash;
    for (const auto &[id, organisation] : fleet.organisations) {
        const auto [existing, inserted] = idsByKeyHash.emplace(organisation.apiKeyHash, id.value());
        if (!inserted && !organisation.apiKeyHash.empty()) {
            reader.addProblem("organisations",
                              "one apiKeyHash for \"" + std::string(existing->second) + "\" and \"" + id.value() + "\"",
                              "a key of its own for each organisation");
        }
    }
}

void checkUpstreams(const DeclaredFleet &fleet, JsonObjectReader &reader)
{
    std::map<std::pair<std::string_view, std::uint16_t>, std::string_view> idsByAddress;
    for (const auto &[id, upstream] : fleet.upstreams) {
        const auto [existing, inserted] = idsByAddress.emplace(std::pair(std::string_view(upstream.address), upstream.port), id.value());
        if (!inserted) {
            reader.addProblem("upstreams",
                              "one address and port for \"" + std::string(existing->second) + "\" and \"" + id.value() + "\"",
                              "an address and port of its own for each upstream");
        }
    }
}

void checkRoutes(const DeclaredFleet &fleet, JsonObjectReader &reader)
{
    std::set<ServiceId> services;
    for (const auto &[id, upstream] : fleet.upstreams) {
        services.insert(upstream.service);
    }
    std::set<std::string_view> prefixes;
    for (std::size_t index = 0; index < fleet.routes.size(); ++index) {
        const RouteSpec &route = fleet.routes[index];
        const std::string path = elementPath("routes", index);
        if (!prefixes.insert(route.pathPrefix).second) {
            reader.addProblem(fieldPath(path, "pathPrefix"), "\"" + route.pathPrefix + "\" a second time", "each prefix once");
        }
        if (!services.contains(route.service)) {
            reader.addProblem(fieldPath(path, "service"), "\"" + route.service.value() + "\"", "the service of a declared upstream");
        }
    }
}

}

void checkDeclaredFleet(const DeclaredFleet &fleet, JsonObjectReader &reader)
{
    checkPresets(fleet, reader);
    checkOrganisations(fleet, reader);
    checkUpstreams(fleet, reader);
    checkRoutes(fleet, reader);
}

}
