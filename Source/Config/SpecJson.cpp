#include "Config/SpecJson.h"

#include "Config/JsonObjectReader.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Mangofall {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<EnumName<RoutingPolicy>, 3> routingPolicies = {{
    {"estimated-first-token", RoutingPolicy::EstimatedFirstToken},
    {"round-robin", RoutingPolicy::RoundRobin},
    {"least-in-flight", RoutingPolicy::LeastInFlight},
}};

constexpr std::array<EnumName<UpstreamKind>, 2> upstreamKinds = {{
    {"engine", UpstreamKind::Engine},
    {"service", UpstreamKind::Service},
}};

constexpr std::uint32_t maxChoices = 64;
constexpr std::uint32_t maxQueueLimit = 100'000;
constexpr std::uint32_t maxWeight = 1'000'000;
constexpr std::uint32_t maxConcurrentRequests = 100'000;
constexpr double maxRequestsPerSecond = 1e7;
constexpr std::uint64_t maxTokens = 1'000'000'000'000;
constexpr milliseconds minDeadline{1};
constexpr milliseconds maxDeadline{24LL * 3600 * 1000};
// End of the year 9999, in milliseconds since 1970. A larger number is a mistake and would overflow when formatted as a date.
constexpr std::uint64_t maxWallTimeMilliseconds = 253'402'300'799'999;

template<class Id>
json encodeIds(const std::set<Id> &ids)
{
    json array = json::array();
    for (const Id &id : ids) {
        array.push_back(id.value());
    }
    return array;
}

template<class Id>
void decodeIds(JsonObjectReader &reader, std::string_view name, std::set<Id> &ids)
{
    const auto insert = [&](std::string text) {
        const std::string idText = text;
        if (!ids.insert(Id(std::move(text))).second) {
            reader.addProblem(name, "\"" + idText + "\" twice", "each id once");
        }
    };
    reader.texts(name, identifierRule, insert, Presence::Optional);
}

template<class Id, class Spec>
std::map<Id, Spec> decodeById(JsonObjectReader &reader, std::string_view name, std::string_view idField, Spec (*decode)(JsonObjectReader &), Id Spec::*id)
{
    std::map<Id, Spec> specs;
    reader.objects(name, [&](JsonObjectReader &element) {
        Spec spec = decode(element);
        const Id key = spec.*id;
        if (!key.empty() && !specs.emplace(key, std::move(spec)).second) {
            element.addProblem(idField, "\"" + key.value() + "\" a second time", "each id once");
        }
    });
    return specs;
}

void checkUpstreamKind(JsonObjectReader &reader, const UpstreamSpec &upstream)
{
    const bool isEngine = upstream.kind == UpstreamKind::Engine;
    if (upstream.model.empty() == isEngine) {
        reader.addProblem("model", isEngine ? "nothing" : "\"" + upstream.model.value() + "\"", "a model for kind engine, none for kind service");
    }
    if (upstream.service.empty() != isEngine) {
        reader.addProblem("service", isEngine ? "\"" + upstream.service.value() + "\"" : "nothing", "a service for kind service, none for kind engine");
    }
    if (upstream.coldRequests > upstream.maxRequests) {
        reader.addProblem("coldRequests", std::to_string(upstream.coldRequests), "at most maxRequests (" + std::to_string(upstream.maxRequests) + ")");
    }
    if (upstream.coldPrefillTokens > upstream.maxPrefillTokens) {
        reader.addProblem(
            "coldPrefillTokens", std::to_string(upstream.coldPrefillTokens), "at most maxPrefillTokens (" + std::to_string(upstream.maxPrefillTokens) + ")");
    }
}

}

json encodePreset(const Preset &preset)
{
    return {
        {"name", preset.name.value()},
        {"routing", enumName<RoutingPolicy>(preset.routing, routingPolicies)},
        {"shortWeight", preset.shortWeight},
        {"choices", preset.choices},
        {"queueLimit", preset.queueLimit},
        {"shortDeadlineMs", preset.shortDeadline.count()},
        {"longDeadlineMs", preset.longDeadline.count()},
        {"retryRatio", preset.retryRatio},
        {"minLongShare", preset.minLongShare},
        {"admitModelRequests", preset.admitModelRequests},
    };
}

Preset decodePreset(JsonObjectReader &reader)
{
    Preset preset;
    reader.id("name", preset.name);
    reader.choice<RoutingPolicy>("routing", preset.routing, routingPolicies, Presence::Optional);
    reader.number("shortWeight", preset.shortWeight, 0, 1, Presence::Optional);
    reader.integer<std::uint32_t>("choices", preset.choices, 1, maxChoices, Presence::Optional);
    reader.integer<std::uint32_t>("queueLimit", preset.queueLimit, 1, maxQueueLimit, Presence::Optional);
    reader.milliseconds("shortDeadlineMs", preset.shortDeadline, minDeadline, maxDeadline, Presence::Optional);
    reader.milliseconds("longDeadlineMs", preset.longDeadline, minDeadline, maxDeadline, Presence::Optional);
    reader.number("retryRatio", preset.retryRatio, 0, 1, Presence::Optional);
    reader.number("minLongShare", preset.minLongShare, 0, 1, Presence::Optional);
    reader.boolean("admitModelRequests", preset.admitModelRequests, Presence::Optional);
    return preset;
}

json encodeOrganisation(const OrganisationSpec &organisation)
{
    return {
        {"id", organisation.id.value()},
        {"apiKeyHash", organisation.apiKeyHash},
        {"weight", organisation.weight},
        {"requestsPerSecond", organisation.requestsPerSecond},
        {"tokensInFlight", organisation.tokensInFlight},
    };
}

OrganisationSpec decodeOrganisation(JsonObjectReader &reader)
{
    OrganisationSpec organisation;
    reader.id("id", organisation.id);
    reader.text("apiKeyHash", organisation.apiKeyHash, secretHashRule);
    reader.integer<std::uint32_t>("weight", organisation.weight, 1, maxWeight, Presence::Optional);
    reader.number("requestsPerSecond", organisation.requestsPerSecond, 0, maxRequestsPerSecond, Presence::Optional);
    reader.integer<std::uint64_t>("tokensInFlight", organisation.tokensInFlight, 0, maxTokens, Presence::Optional);
    return organisation;
}

json encodeUpstream(const UpstreamSpec &upstream)
{
    json object = {
        {"id", upstream.id.value()},
        {"dataCentre", upstream.dataCentre.value()},
        {"address", upstream.address},
        {"port", upstream.port},
        {"kind", enumName<UpstreamKind>(upstream.kind, upstreamKinds)},
        {"maxRequests", upstream.maxRequests},
        {"coldRequests", upstream.coldRequests},
        {"maxPrefillTokens", upstream.maxPrefillTokens},
        {"coldPrefillTokens", upstream.coldPrefillTokens},
        {"memoryTokens", upstream.memoryTokens},
        {"checksFencing", upstream.checksFencing},
    };
    if (!upstream.model.empty()) {
        object["model"] = upstream.model.value();
    }
    if (!upstream.service.empty()) {
        object["service"] = upstream.service.value();
    }
    return object;
}

UpstreamSpec decodeUpstream(JsonObjectReader &reader)
{
    UpstreamSpec upstream;
    reader.id("id", upstream.id);
    reader.id("dataCentre", upstream.dataCentre);
    reader.text("address", upstream.address, reachableAddressRule);
    reader.integer<std::uint16_t>("port", upstream.port, 1);
    reader.choice<UpstreamKind>("kind", upstream.kind, upstreamKinds, Presence::Optional);
    reader.id("model", upstream.model, Presence::Optional);
    reader.id("service", upstream.service, Presence::Optional);
    reader.integer<std::uint32_t>("maxRequests", upstream.maxRequests, 1, maxConcurrentRequests, Presence::Optional);
    reader.integer<std::uint32_t>("coldRequests", upstream.coldRequests, 1, maxConcurrentRequests, Presence::Optional);
    reader.integer<std::uint64_t>("maxPrefillTokens", upstream.maxPrefillTokens, 1, maxTokens, Presence::Optional);
    reader.integer<std::uint64_t>("coldPrefillTokens", upstream.coldPrefillTokens, 1, maxTokens, Presence::Optional);
    reader.integer<std::uint64_t>("memoryTokens", upstream.memoryTokens, 1, maxTokens, Presence::Optional);
    reader.boolean("checksFencing", upstream.checksFencing, Presence::Optional);
    checkUpstreamKind(reader, upstream);
    return upstream;
}

json encodeRoute(const RouteSpec &route)
{
    json object = {
        {"pathPrefix", route.pathPrefix},
        {"service", route.service.value()},
        {"idempotent", route.idempotent},
        {"deadlineMs", route.deadline.count()},
    };
    if (!route.statusPath.empty()) {
        object["statusPath"] = route.statusPath;
    }
    return object;
}

RouteSpec decodeRoute(JsonObjectReader &reader)
{
    RouteSpec route;
    reader.text("pathPrefix", route.pathPrefix, urlPathRule);
    reader.id("service", route.service);
    reader.boolean("idempotent", route.idempotent, Presence::Optional);
    reader.text("statusPath", route.statusPath, urlPathRule, Presence::Optional);
    reader.milliseconds("deadlineMs", route.deadline, minDeadline, maxDeadline, Presence::Optional);
    return route;
}

json encodeOutOfService(const OutOfService &outOfService)
{
    return {
        {"dataCentres", encodeIds(outOfService.dataCentres)},
        {"hosts", encodeIds(outOfService.hosts)},
        {"upstreams", encodeIds(outOfService.upstreams)},
    };
}

OutOfService decodeOutOfService(JsonObjectReader &reader)
{
    OutOfService outOfService;
    decodeIds(reader, "dataCentres", outOfService.dataCentres);
    decodeIds(reader, "hosts", outOfService.hosts);
    decodeIds(reader, "upstreams", outOfService.upstreams);
    return outOfService;
}

json encodeRecentChange(const RecentChange &change)
{
    return {
        {"id", change.id.value()},
        {"revision", change.revision},
        {"timeMs", change.time.time_since_epoch().count()},
        {"summary", change.summary},
    };
}

RecentChange decodeRecentChange(JsonObjectReader &reader)
{
    RecentChange change;
    std::uint64_t time = 0;
    reader.id("id", change.id);
    reader.integer<std::uint64_t>("revision", change.revision, 1);
    reader.integer<std::uint64_t>("timeMs", time, 0, maxWallTimeMilliseconds);
    reader.text("summary", change.summary, summaryRule);
    change.time = WallTime(milliseconds(time));
    return change;
}

std::map<PresetName, Preset> decodePresets(JsonObjectReader &reader, std::string_view name)
{
    return decodeById<PresetName, Preset>(reader, name, "name", decodePreset, &Preset::name);
}

std::map<OrganisationId, OrganisationSpec> decodeOrganisations(JsonObjectReader &reader, std::string_view name)
{
    return decodeById<OrganisationId, OrganisationSpec>(reader, name, "id", decodeOrganisation, &OrganisationSpec::id);
}

std::map<UpstreamId, UpstreamSpec> decodeUpstreams(JsonObjectReader &reader, std::string_view name)
{
    return decodeById<UpstreamId, UpstreamSpec>(reader, name, "id", decodeUpstream, &UpstreamSpec::id);
}

std::vector<RouteSpec> decodeRoutes(JsonObjectReader &reader, std::string_view name)
{
    std::vector<RouteSpec> routes;
    reader.objects(name, [&](JsonObjectReader &element) {
        routes.push_back(decodeRoute(element));
    });
    return routes;
}

}
