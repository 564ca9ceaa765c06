#include "Config/FleetJson.h"

#include "Config/FleetValidation.h"
#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/SpecJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Mangofall {

namespace {

using nlohmann::json;

template<class Map, class Encode>
json encodeValues(const Map &map, Encode encode)
{
    json array = json::array();
    for (const auto &[id, spec] : map) {
        array.push_back(encode(spec));
    }
    return array;
}

template<class Document>
json encodeSections(const Document &document)
{
    json routes = json::array();
    for (const RouteSpec &route : document.routes) {
        routes.push_back(encodeRoute(route));
    }
    return {
        {"presets", encodeValues(document.presets, encodePreset)},
        {"organisations", encodeValues(document.organisations, encodeOrganisation)},
        {"upstreams", encodeValues(document.upstreams, encodeUpstream)},
        {"routes", std::move(routes)},
    };
}

template<class Document>
void decodeSections(JsonObjectReader &reader, Document &document)
{
    document.presets = decodePresets(reader, "presets");
    document.organisations = decodeOrganisations(reader, "organisations");
    document.upstreams = decodeUpstreams(reader, "upstreams");
    document.routes = decodeRoutes(reader, "routes");
}

// Parses text, decodes it with decode and refuses unknown fields. Line numbers need a second parse and are added only if there is a fault.
template<class Document, class Decode>
std::optional<Document> readDocument(std::string_view text, ConfigurationProblems &problems, Decode decode)
{
    ConfigurationProblems newProblems;
    const std::optional<json> value = parseJsonText(text, newProblems);
    Document document;
    if (value.has_value()) {
        JsonObjectReader reader(*value, {}, newProblems);
        document = decode(reader);
        reader.refuseUnknownFields();
        if (!newProblems.empty()) {
            addLineNumbers(newProblems, text);
        }
    }
    problems.insert(problems.end(), newProblems.begin(), newProblems.end());
    return newProblems.empty() ? std::optional<Document>(std::move(document)) : std::nullopt;
}

FleetConfiguration decodeConfiguration(JsonObjectReader &reader)
{
    FleetConfiguration configuration;
    reader.integer<Revision>("revision", configuration.revision);
    const Presence presence = configuration.revision == 0 ? Presence::Optional : Presence::Required;
    reader.id("presetInForce", configuration.presetInForce, presence);
    decodeSections(reader, configuration);
    reader.object("outOfService", [&](JsonObjectReader &fields) {
        configuration.outOfService = decodeOutOfService(fields);
    });
    reader.objects("recentChanges", [&](JsonObjectReader &element) {
        configuration.recentChanges.push_back(decodeRecentChange(element));
    });
    return configuration;
}

}

json encodeDeclaredFleet(const DeclaredFleet &fleet)
{
    json document = encodeSections(fleet);
    if (fleet.initialPreset.has_value()) {
        document["initialPreset"] = fleet.initialPreset->value();
    }
    return document;
}

DeclaredFleet decodeDeclaredFleet(JsonObjectReader &reader)
{
    DeclaredFleet fleet;
    decodeSections(reader, fleet);
    PresetName initialPreset;
    reader.id("initialPreset", initialPreset, Presence::Optional);
    if (!initialPreset.empty()) {
        fleet.initialPreset = initialPreset;
    }
    checkDeclaredFleet(fleet, reader);
    return fleet;
}

std::optional<DeclaredFleet> readDeclaredFleet(std::string_view text, ConfigurationProblems &problems)
{
    return readDocument<DeclaredFleet>(text, problems, decodeDeclaredFleet);
}

json encodeFleetConfiguration(const FleetConfiguration &configuration)
{
    json document = encodeSections(configuration);
    document["revision"] = configuration.revision;
    if (!configuration.presetInForce.empty()) {
        document["presetInForce"] = configuration.presetInForce.value();
    }
    document["outOfService"] = encodeOutOfService(configuration.outOfService);
    json &changes = document["recentChanges"] = json::array();
    for (const RecentChange &change : configuration.recentChanges) {
        changes.push_back(encodeRecentChange(change));
    }
    return document;
}

std::optional<FleetConfiguration> decodeFleetConfiguration(std::string_view text, ConfigurationProblems &problems)
{
    return readDocument<FleetConfiguration>(text, problems, decodeConfiguration);
}

}
