#include "Config/OperatorLists.h"

#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/SpecJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Mangofall {

using nlohmann::json;

namespace {

constexpr double maxRequestsPerSecond = 1e12;
// End of the year 9999, in milliseconds since 1970.
constexpr std::uint64_t maxWallTimeMilliseconds = 253'402'300'799'999;

bool isOrderKey(std::string_view text)
{
    constexpr std::size_t maxLength = 1024;
    return !text.empty() && text.size() <= maxLength;
}

constexpr TextRule orderKeyRule{isOrderKey, "1 to 1024 bytes"};

template<class Element, class Encode>
json encodeList(const char *name, const std::vector<Element> &elements, Encode encode)
{
    json array = json::array();
    for (const Element &element : elements) {
        array.push_back(encode(element));
    }
    return {{name, std::move(array)}};
}

template<class Element, class Decode>
std::optional<std::vector<Element>> decodeList(const char *name, std::string_view text, ConfigurationProblems &problems, Decode decode)
{
    ConfigurationProblems newProblems;
    std::vector<Element> elements;
    if (const std::optional<json> value = parseJsonText(text, newProblems)) {
        JsonObjectReader reader(*value, {}, newProblems);
        reader.objects(name, [&](JsonObjectReader &element) {
            elements.push_back(decode(element));
        });
        reader.refuseUnknownFields();
    }
    problems.insert(problems.end(), newProblems.begin(), newProblems.end());
    return newProblems.empty() ? std::optional(std::move(elements)) : std::nullopt;
}

json encodeOrder(const OperatorOrder &order)
{
    return {{"key", order.key}, {"state", order.state}, {"host", order.host.value()}, {"claimedMs", order.claimedAt.time_since_epoch().count()}};
}

OperatorOrder decodeOrder(JsonObjectReader &reader)
{
    OperatorOrder order;
    std::uint64_t claimedMilliseconds = 0;
    reader.text("key", order.key, orderKeyRule);
    reader.text("state", order.state, identifierRule);
    reader.id("host", order.host);
    reader.integer<std::uint64_t>("claimedMs", claimedMilliseconds, 0, maxWallTimeMilliseconds);
    order.claimedAt = WallTime(std::chrono::milliseconds(claimedMilliseconds));
    return order;
}

json encodeLimit(const OperatorLimit &limit)
{
    return {
        {"organisation", limit.organisation.value()},
        {"requestsPerSecond", limit.requestsPerSecond},
        {"requestsPerSecondHere", limit.requestsPerSecondHere},
        {"tokensInFlight", limit.tokensInFlight},
        {"tokensInFlightHere", limit.tokensInFlightHere},
        {"tokensUsedHere", limit.tokensUsedHere},
        {"refused", limit.refused},
    };
}

OperatorLimit decodeLimit(JsonObjectReader &reader)
{
    OperatorLimit limit;
    reader.id("organisation", limit.organisation);
    reader.number("requestsPerSecond", limit.requestsPerSecond, 0, maxRequestsPerSecond);
    reader.number("requestsPerSecondHere", limit.requestsPerSecondHere, 0, maxRequestsPerSecond);
    reader.integer<std::uint64_t>("tokensInFlight", limit.tokensInFlight);
    reader.integer<std::uint64_t>("tokensInFlightHere", limit.tokensInFlightHere);
    reader.integer<std::uint64_t>("tokensUsedHere", limit.tokensUsedHere);
    reader.integer<std::uint64_t>("refused", limit.refused);
    return limit;
}

}

json encodeOperatorOrders(const std::vector<OperatorOrder> &orders)
{
    return encodeList("orders", orders, encodeOrder);
}

std::optional<std::vector<OperatorOrder>> decodeOperatorOrders(std::string_view text, ConfigurationProblems &problems)
{
    return decodeList<OperatorOrder>("orders", text, problems, decodeOrder);
}

json encodeOperatorLimits(const std::vector<OperatorLimit> &limits)
{
    return encodeList("limits", limits, encodeLimit);
}

std::optional<std::vector<OperatorLimit>> decodeOperatorLimits(std::string_view text, ConfigurationProblems &problems)
{
    return decodeList<OperatorLimit>("limits", text, problems, decodeLimit);
}

json encodeHistory(const std::vector<RecentChange> &changes)
{
    return encodeList("changes", changes, encodeRecentChange);
}

std::optional<std::vector<RecentChange>> decodeHistory(std::string_view text, ConfigurationProblems &problems)
{
    return decodeList<RecentChange>("changes", text, problems, decodeRecentChange);
}

}
