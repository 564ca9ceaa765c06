#include "Config/OperatorStatus.h"

#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/SpecJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Mangofall {

using nlohmann::json;

namespace {

OperatorStatus decodeStatus(JsonObjectReader &reader)
{
    OperatorStatus status;
    reader.id("hostId", status.hostId);
    reader.integer<Revision>("revision", status.revision);
    reader.id("presetInForce", status.presetInForce, Presence::Optional);
    reader.boolean("admitting", status.admitting);
    reader.object("outOfService", [&](JsonObjectReader &fields) {
        status.outOfService = decodeOutOfService(fields);
    });
    reader.objects("hosts", [&](JsonObjectReader &element) {
        OperatorHostStatus &host = status.hosts.emplace_back();
        element.id("id", host.id);
        element.id("dataCentre", host.dataCentre);
        element.text("state", host.state, identifierRule);
        element.integer<Revision>("revision", host.revision);
    });
    reader.objects("upstreams", [&](JsonObjectReader &element) {
        OperatorUpstreamStatus &upstream = status.upstreams.emplace_back();
        element.id("id", upstream.id);
        element.id("dataCentre", upstream.dataCentre);
        element.text("state", upstream.state, identifierRule);
        element.integer<std::uint32_t>("inFlight", upstream.inFlight);
        element.integer<std::uint32_t>("cap", upstream.cap);
    });
    return status;
}

}

json encodeOperatorStatus(const OperatorStatus &status)
{
    json hosts = json::array();
    for (const OperatorHostStatus &host : status.hosts) {
        hosts.push_back({{"id", host.id.value()}, {"dataCentre", host.dataCentre.value()}, {"state", host.state}, {"revision", host.revision}});
    }
    json upstreams = json::array();
    for (const OperatorUpstreamStatus &upstream : status.upstreams) {
        upstreams.push_back({{"id", upstream.id.value()},
                             {"dataCentre", upstream.dataCentre.value()},
                             {"state", upstream.state},
                             {"inFlight", upstream.inFlight},
                             {"cap", upstream.cap}});
    }
    json object = {{"hostId", status.hostId.value()},
                   {"revision", status.revision},
                   {"admitting", status.admitting},
                   {"outOfService", encodeOutOfService(status.outOfService)},
                   {"hosts", std::move(hosts)},
                   {"upstreams", std::move(upstreams)}};
    if (!status.presetInForce.empty()) {
        object["presetInForce"] = status.presetInForce.value();
    }
    return object;
}

std::optional<OperatorStatus> decodeOperatorStatus(std::string_view text, ConfigurationProblems &problems)
{
    ConfigurationProblems newProblems;
    OperatorStatus status;
    if (const std::optional<json> value = parseJsonText(text, newProblems)) {
        JsonObjectReader reader(*value, {}, newProblems);
        status = decodeStatus(reader);
        reader.refuseUnknownFields();
    }
    problems.insert(problems.end(), newProblems.begin(), newProblems.end());
    return newProblems.empty() ? std::optional(std::move(status)) : std::nullopt;
}

}
