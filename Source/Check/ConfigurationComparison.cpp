#include "Check/ConfigurationComparison.h"

#include "Forwarding/RouteTable.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

namespace Mangofall::Check {

namespace {

using namespace Forwarding;
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::string text(double number)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << number;
    return stream.str();
}

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

std::string kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::AtMostOnce:
        return "at most once";
    case RequestKind::Stream:
        break;
    }
    return "stream";
}

std::string address(const RouteRule &route)
{
    return route.hostName + " " + route.pathPrefix;
}

FieldTexts describe(const RouteRule &route)
{
    std::string services;
    for (const WeightedService &choice : route.services) {
        services += (services.empty() ? "" : ", ") + choice.service.value() + " " + std::to_string(choice.weight);
    }
    return {{"requests", address(route)},
            {"kind", kindName(route.kind)},
            {"services", services},
            {"timeout", milliseconds(route.timeout)},
            {"target", milliseconds(route.target)},
            {"pause limit", milliseconds(route.pauseLimit)},
            {"attempts", std::to_string(route.maxRuns)},
            {"priority", std::to_string(route.priority)},
            {"public", yesOrNo(route.isPublic)},
            {"resumable", yesOrNo(route.resumable)}};
}

FieldTexts describe(const Placement::ServiceSpec &service)
{
    const Placement::EngineSpec engine = service.engine.value_or(Placement::EngineSpec());
    return {{"cold requests per second", text(service.coldRequestsPerSecond)},
            {"model engine", yesOrNo(service.engine.has_value())},
            {"slots", std::to_string(engine.slots)},
            {"memory", std::to_string(engine.memoryTokens) + " tokens"},
            {"steps per iteration", std::to_string(engine.stepsPerIteration)},
            {"chunk", std::to_string(engine.chunkTokens) + " tokens"},
            {"step", text(engine.stepMs) + " ms"},
            {"step per request", text(engine.decodingRequestMs) + " ms"},
            {"step per thousand tokens", text(engine.contextMs) + " ms"},
            {"prefill", text(engine.prefillTokensPerMs) + " tokens per ms"},
            {"prefill per million pairs", text(engine.pairsMs) + " ms"}};
}

FieldTexts describe(const OrganisationRule &organisation)
{
    return {{"priority", organisation.priority ? std::to_string(*organisation.priority) : "that of the route"}};
}

FieldTexts describe(const ForwardingConfiguration &configuration)
{
    const HttpServerLimits &limits = configuration.callerLimits;
    return {{"credentials required", yesOrNo(configuration.requiresCredentials)},
            {"header size", std::to_string(limits.headerBytes) + " bytes"},
            {"body size", std::to_string(limits.bodyBytes) + " bytes"},
            {"header time", milliseconds(limits.headerTimeout)},
            {"idle time", milliseconds(limits.idleTimeout)}};
}

std::vector<std::string> changedFields(const FieldTexts &before, const FieldTexts &after)
{
    std::vector<std::string> details;
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (before[index].second != after[index].second) {
            details.push_back(before[index].first + ": " + before[index].second + " -> " + after[index].second);
        }
    }
    return details;
}

// Entries by name. Routes without a name are known by the requests that they match.
template<class Entry, class Name>
std::map<std::string, const Entry *> byName(const std::vector<Entry> &entries, Name name)
{
    std::map<std::string, const Entry *> result;
    for (const Entry &entry : entries) {
        result[name(entry)] = &entry;
    }
    return result;
}

template<class Entry>
void compareEntries(DifferenceSubject subject,
                    const std::map<std::string, const Entry *> &before,
                    const std::map<std::string, const Entry *> &after,
                    std::vector<Difference> &differences)
{
    const std::size_t first = differences.size();
    for (const auto &[name, entry] : before) {
        const auto position = after.find(name);
        if (position == after.end()) {
            differences.push_back({subject, DifferenceKind::Removed, name, {}, {}});
            continue;
        }
        std::vector<std::string> details = changedFields(describe(*entry), describe(*position->second));
        if (!details.empty()) {
            differences.push_back({subject, DifferenceKind::Changed, name, std::move(details), {}});
        }
    }
    for (const auto &[name, entry] : after) {
        if (!before.contains(name)) {
            differences.push_back({subject, DifferenceKind::Added, name, {}, {}});
        }
    }
    std::sort(differences.begin() + static_cast<std::ptrdiff_t>(first), differences.end(), [](const Difference &left, const Difference &right) {
        return left.name < right.name;
    });
}

std::string routeName(const RouteRule &route)
{
    return route.name.empty() ? address(route) : route.name;
}

std::string callersOf(const RouteRule &route, const ForwardingConfiguration &configuration)
{
    if (route.isPublic || !configuration.requiresCredentials) {
        return "all callers";
    }
    std::string names;
    for (const OrganisationRule &organisation : configuration.organisations) {
        if (!organisation.credentials.empty()) {
            names += (names.empty() ? "" : ", ") + organisation.id.value();
        }
    }
    return names.empty() ? "no callers" : "callers of " + names;
}

// Who loses access when the requests of a route are no longer matched by it.
std::string effectOfRemoval(const RouteRule &route, const ForwardingConfiguration &inForce, const RouteTable &next)
{
    const RouteRule *replacement = next.findRoute(route.hostName, route.pathPrefix);
    if (replacement != nullptr) {
        return "its requests go to route " + routeName(*replacement);
    }
    return callersOf(route, inForce) + " lose access to " + address(route);
}

void addRouteEffects(const std::map<std::string, const RouteRule *> &before,
                     const ForwardingConfiguration &inForce,
                     const ForwardingConfiguration &next,
                     std::vector<Difference> &differences)
{
    const RouteTable nextTable(next);
    for (Difference &difference : differences) {
        if (difference.kind == DifferenceKind::Added) {
            continue;
        }
        const RouteRule &route = *before.at(difference.name);
        const RouteRule *match = nextTable.findRoute(route.hostName, route.pathPrefix);
        if (difference.kind == DifferenceKind::Removed || match == nullptr) {
            difference.effect = effectOfRemoval(route, inForce, nextTable);
        } else if (route.isPublic && !match->isPublic && next.requiresCredentials) {
            difference.effect = "callers without a key lose access to " + address(route);
        }
    }
}

struct CredentialOwner {
    const OrganisationRule *organisation = nullptr;
    std::size_t position = 0;
};

std::map<std::string, CredentialOwner> credentialOwners(const ForwardingConfiguration &configuration)
{
    std::map<std::string, CredentialOwner> owners;
    for (const OrganisationRule &organisation : configuration.organisations) {
        for (std::size_t position = 0; position < organisation.credentials.size(); ++position) {
            owners.try_emplace(organisation.credentials[position], CredentialOwner{&organisation, position});
        }
    }
    return owners;
}

std::string credentialName(const CredentialOwner &owner)
{
    return owner.organisation->id.value() + " key " + std::to_string(owner.position + 1);
}

void compareCredentials(const ForwardingConfiguration &inForce, const ForwardingConfiguration &next, std::vector<Difference> &differences)
{
    const std::map<std::string, CredentialOwner> before = credentialOwners(inForce);
    const std::map<std::string, CredentialOwner> after = credentialOwners(next);
    // Ordered by the shown name instead of the credential, which the order would hint at.
    std::map<std::pair<std::string, std::size_t>, Difference> ordered;
    for (const auto &[credential, owner] : before) {
        const auto position = after.find(credential);
        const std::string &organisation = owner.organisation->id.value();
        Difference difference{DifferenceSubject::Credential, DifferenceKind::Removed, credentialName(owner), {}, {}};
        if (position == after.end()) {
            difference.effect = next.requiresCredentials ? "callers of " + organisation + " with this key lose access to private routes" : std::string();
        } else if (position->second.organisation->id != owner.organisation->id) {
            difference.kind = DifferenceKind::Changed;
            difference.details = {"organisation: " + organisation + " -> " + position->second.organisation->id.value()};
        } else {
            continue;
        }
        ordered.emplace(std::pair(organisation + " -", owner.position), std::move(difference));
    }
    for (const auto &[credential, owner] : after) {
        if (!before.contains(credential)) {
            ordered.emplace(std::pair(owner.organisation->id.value() + " +", owner.position),
                            Difference{DifferenceSubject::Credential, DifferenceKind::Added, credentialName(owner), {}, {}});
        }
    }
    for (auto &[place, difference] : ordered) {
        differences.push_back(std::move(difference));
    }
}

void compareLimits(const ForwardingConfiguration &inForce, const ForwardingConfiguration &next, std::vector<Difference> &differences)
{
    std::vector<std::string> details = changedFields(describe(inForce), describe(next));
    if (details.empty()) {
        return;
    }
    Difference difference{DifferenceSubject::Limit, DifferenceKind::Changed, "callers", std::move(details), {}};
    if (!inForce.requiresCredentials && next.requiresCredentials) {
        difference.effect = "callers without a key lose access to private routes";
    }
    differences.push_back(std::move(difference));
}

}

std::vector<Difference> compare(const ForwardingConfiguration &inForce, const ForwardingConfiguration &next)
{
    std::vector<Difference> differences;
    const auto routesBefore = byName(inForce.routes, routeName);
    compareEntries(DifferenceSubject::Route, routesBefore, byName(next.routes, routeName), differences);
    addRouteEffects(routesBefore, inForce, next, differences);
    const auto idOf = [](const auto &entry) {
        return entry.id.value();
    };
    compareEntries(DifferenceSubject::Service, byName(inForce.services, idOf), byName(next.services, idOf), differences);
    compareEntries(DifferenceSubject::Organisation, byName(inForce.organisations, idOf), byName(next.organisations, idOf), differences);
    compareCredentials(inForce, next, differences);
    compareLimits(inForce, next, differences);
    return differences;
}

}
