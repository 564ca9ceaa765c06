#include "Config/ConfigurationChange.h"

#include "Config/FleetJson.h"
#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/SpecJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Mangofall {

namespace {

using nlohmann::json;

template<class... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

// Needed by clang 14, which does not deduce the arguments of an aggregate template.
template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

enum class ChangeKind {
    PutPreset,
    UsePreset,
    TakeOut,
    Restore,
    ReplaceFleet,
};

constexpr std::array<EnumName<ChangeKind>, 5> changeKindNames = {{
    {"put-preset", ChangeKind::PutPreset},
    {"use-preset", ChangeKind::UsePreset},
    {"take-out", ChangeKind::TakeOut},
    {"restore", ChangeKind::Restore},
    {"replace-fleet", ChangeKind::ReplaceFleet},
}};

constexpr std::array<const char *, 3> unitFields = {"dataCentre", "host", "upstream"};

std::string unitId(const ServiceUnit &unit)
{
    return std::visit(
        [](const auto &id) {
            return id.value();
        },
        unit);
}

ServiceUnit decodeUnit(JsonObjectReader &reader)
{
    DataCentreId dataCentre;
    HostId host;
    UpstreamId upstream;
    reader.id(unitFields[0], dataCentre, Presence::Optional);
    reader.id(unitFields[1], host, Presence::Optional);
    reader.id(unitFields[2], upstream, Presence::Optional);
    const auto count = std::ranges::count_if(unitFields, [&](const char *name) {
        return reader.has(name);
    });
    if (count != 1) {
        reader.addProblem({}, std::to_string(count) + " of the fields dataCentre, host and upstream", "exactly one of them");
    }
    if (!host.empty()) {
        return host;
    }
    if (!upstream.empty()) {
        return upstream;
    }
    return dataCentre;
}

void decodeAction(JsonObjectReader &reader, ChangeKind kind, ConfigurationChange &change)
{
    switch (kind) {
    case ChangeKind::PutPreset:
        reader.object("preset", [&](JsonObjectReader &fields) {
            change.action = PutPreset{decodePreset(fields)};
        });
        return;
    case ChangeKind::UsePreset: {
        UsePreset use;
        reader.id("name", use.name);
        change.action = use;
        return;
    }
    case ChangeKind::TakeOut:
        change.action = TakeOut{decodeUnit(reader)};
        return;
    case ChangeKind::Restore:
        change.action = Restore{decodeUnit(reader)};
        return;
    case ChangeKind::ReplaceFleet:
        reader.object("fleet", [&](JsonObjectReader &fields) {
            change.action = ReplaceFleet{decodeDeclaredFleet(fields)};
        });
        return;
    }
}

std::string missingPresetReason(const PresetName &name)
{
    return "preset \"" + name.value() + "\" does not exist";
}

// Each overload of apply() returns the reason why the change cannot be applied, or an empty text if it was applied.
std::string apply(FleetConfiguration &next, const PutPreset &put)
{
    next.presets[put.preset.name] = put.preset;
    return {};
}

std::string apply(FleetConfiguration &next, const UsePreset &use)
{
    if (!next.presets.contains(use.name)) {
        return missingPresetReason(use.name);
    }
    next.presetInForce = use.name;
    return {};
}

// Rejects unknown names, because a change with a misspelt name would be accepted without taking anything out of service. Hosts are not declared in the
// configuration, so their names cannot be checked here.
std::string unknownUnitReason(const FleetConfiguration &configuration, const ServiceUnit &unit)
{
    if (const auto *upstream = std::get_if<UpstreamId>(&unit)) {
        return configuration.upstreams.contains(*upstream) ? std::string() : "upstream \"" + upstream->value() + "\" is not declared";
    }
    if (const auto *dataCentre = std::get_if<DataCentreId>(&unit)) {
        const bool known = std::ranges::any_of(configuration.upstreams, [&](const auto &entry) {
            return entry.second.dataCentre == *dataCentre;
        });
        return known ? std::string() : "no upstream is declared in data centre \"" + dataCentre->value() + "\"";
    }
    return {};
}

std::string apply(FleetConfiguration &next, const TakeOut &takeOut)
{
    std::string reason = unknownUnitReason(next, takeOut.unit);
    if (!reason.empty()) {
        return reason;
    }
    OutOfService &outOfServiceUnits = next.outOfService;
    std::visit(Overloaded{
                   [&](const DataCentreId &id) {
                       outOfServiceUnits.dataCentres.insert(id);
                   },
                   [&](const HostId &id) {
                       outOfServiceUnits.hosts.insert(id);
                   },
                   [&](const UpstreamId &id) {
                       outOfServiceUnits.upstreams.insert(id);
                   },
               },
               takeOut.unit);
    return {};
}

std::string apply(FleetConfiguration &next, const Restore &restore)
{
    OutOfService &outOfServiceUnits = next.outOfService;
    std::visit(Overloaded{
                   [&](const DataCentreId &id) {
                       outOfServiceUnits.dataCentres.erase(id);
                   },
                   [&](const HostId &id) {
                       outOfServiceUnits.hosts.erase(id);
                   },
                   [&](const UpstreamId &id) {
                       outOfServiceUnits.upstreams.erase(id);
                   },
               },
               restore.unit);
    return {};
}

std::string apply(FleetConfiguration &next, const ReplaceFleet &replace)
{
    if (next.revision == 0) {
        if (!replace.fleet.initialPreset.has_value()) {
            return "the first fleet must name its initialPreset";
        }
        next.presetInForce = *replace.fleet.initialPreset;
    }
    if (!replace.fleet.presets.contains(next.presetInForce)) {
        return "preset \"" + next.presetInForce.value() + "\" is in force and must be declared";
    }
    next.presets = replace.fleet.presets;
    next.organisations = replace.fleet.organisations;
    next.upstreams = replace.fleet.upstreams;
    next.routes = replace.fleet.routes;
    std::erase_if(next.outOfService.upstreams, [&](const UpstreamId &id) {
        return !next.upstreams.contains(id);
    });
    return {};
}

std::string unitSummary(const ServiceUnit &unit)
{
    constexpr std::array<const char *, 3> unitLabels = {"data centre ", "host ", "upstream "};
    return unitLabels[unit.index()] + unitId(unit);
}

}

json encodeChange(const ConfigurationChange &change)
{
    json object = std::visit(Overloaded{
                                 [](const PutPreset &put) -> json {
                                     return {{"preset", encodePreset(put.preset)}};
                                 },
                                 [](const UsePreset &use) -> json {
                                     return {{"name", use.name.value()}};
                                 },
                                 [](const TakeOut &takeOut) -> json {
                                     return {{unitFields[takeOut.unit.index()], unitId(takeOut.unit)}};
                                 },
                                 [](const Restore &restore) -> json {
                                     return {{unitFields[restore.unit.index()], unitId(restore.unit)}};
                                 },
                                 [](const ReplaceFleet &replace) -> json {
                                     return {{"fleet", encodeDeclaredFleet(replace.fleet)}};
                                 },
                             },
                             change.action);
    object["id"] = change.id.value();
    object["kind"] = changeKindNames[change.action.index()].name;
    return object;
}

std::optional<ConfigurationChange> decodeChange(std::string_view text, ConfigurationProblems &problems)
{
    ConfigurationProblems found;
    ConfigurationChange change;
    const std::optional<json> value = parseJsonText(text, found);
    if (value.has_value()) {
        JsonObjectReader reader(*value, {}, found);
        reader.id("id", change.id);
        std::optional<ChangeKind> kind;
        ChangeKind decodedKind = ChangeKind::PutPreset;
        const std::size_t problemCountBefore = found.size();
        reader.choice<ChangeKind>("kind", decodedKind, changeKindNames);
        if (found.size() == problemCountBefore) {
            kind = decodedKind;
        }
        // Without a valid kind, every other field would be reported as unknown.
        if (kind.has_value()) {
            decodeAction(reader, *kind, change);
            reader.refuseUnknownFields();
        }
    }
    if (value.has_value() && !found.empty()) {
        addLineNumbers(found, text);
    }
    problems.insert(problems.end(), found.begin(), found.end());
    return found.empty() ? std::optional<ConfigurationChange>(std::move(change)) : std::nullopt;
}

std::string changeSummary(const ConfigurationChange &change)
{
    return std::visit(Overloaded{
                          [](const PutPreset &put) {
                              return "put preset " + put.preset.name.value();
                          },
                          [](const UsePreset &use) {
                              return "use preset " + use.name.value();
                          },
                          [](const TakeOut &takeOut) {
                              return "take out " + unitSummary(takeOut.unit);
                          },
                          [](const Restore &restore) {
                              return "restore " + unitSummary(restore.unit);
                          },
                          [](const ReplaceFleet &replace) {
                              return "replace fleet: " + std::to_string(replace.fleet.presets.size()) + " presets, "
                                  + std::to_string(replace.fleet.organisations.size()) + " organisations, " + std::to_string(replace.fleet.upstreams.size())
                                  + " upstreams, " + std::to_string(replace.fleet.routes.size()) + " routes";
                          },
                      },
                      change.action);
}

ChangeOutcome applyChange(const FleetConfiguration &base, const ConfigurationChange &change, WallTime time)
{
    if (base.revision == 0 && !std::holds_alternative<ReplaceFleet>(change.action)) {
        return std::string("no configuration exists yet; apply a fleet first");
    }
    FleetConfiguration next = base;
    std::string reason = std::visit(
        [&](const auto &action) {
            return apply(next, action);
        },
        change.action);
    if (!reason.empty()) {
        return reason;
    }
    next.revision = base.revision + 1;
    next.recentChanges.push_back({change.id, next.revision, time, changeSummary(change)});
    if (next.recentChanges.size() > maxRecentChanges) {
        next.recentChanges.erase(next.recentChanges.begin());
    }
    return next;
}

}
