#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/ConfigurationProblem.h"
#include "Config/RecentChange.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/**
 * \class OperatorOrder
 * \brief One order in the answer to `GET /operator/orders`.
 */
struct OperatorOrder {
    std::string key; ///< Order key; any printable characters.
    std::string state; ///< State of the order in the ledger, such as `unknown`.
    HostId host; ///< Owner of the ledger shard that holds the order.
    WallTime claimedAt;

    friend bool operator==(const OperatorOrder &, const OperatorOrder &) = default;
};

/**
 * \class OperatorLimit
 * \brief Limits of one organisation and their use, in the answer to `GET /operator/limits`.
 */
struct OperatorLimit {
    OrganisationId organisation;
    double requestsPerSecond = 0; ///< Fleet-wide limit on requests per second; 0 means none.
    double requestsPerSecondHere = 0; ///< Share of the answering host in the limit.
    std::uint64_t tokensInFlight = 0; ///< Fleet-wide limit on prompt tokens in flight; 0 means none.
    std::uint64_t tokensInFlightHere = 0; ///< Share of the answering host in the limit.
    std::uint64_t tokensUsedHere = 0; ///< Prompt tokens in flight on the answering host.
    std::uint64_t refused = 0; ///< Requests refused by the answering host since it started.

    friend bool operator==(const OperatorLimit &, const OperatorLimit &) = default;
};

/// Body `{"orders": [...]}` of the answer to `GET /operator/orders`.
nlohmann::json encodeOperatorOrders(const std::vector<OperatorOrder> &orders);
std::optional<std::vector<OperatorOrder>> decodeOperatorOrders(std::string_view text, ConfigurationProblems &problems);

/// Body `{"limits": [...]}` of the answer to `GET /operator/limits`.
nlohmann::json encodeOperatorLimits(const std::vector<OperatorLimit> &limits);
std::optional<std::vector<OperatorLimit>> decodeOperatorLimits(std::string_view text, ConfigurationProblems &problems);

/// Body `{"changes": [...]}` of the answer to `GET /operator/history`, oldest change first.
nlohmann::json encodeHistory(const std::vector<RecentChange> &changes);
std::optional<std::vector<RecentChange>> decodeHistory(std::string_view text, ConfigurationProblems &problems);

}
