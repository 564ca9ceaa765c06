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
    std::string key; ///< Order key as text; any printable characters.
    std::string state; ///< State of the ledger, such as `unknown`.
    HostId host; ///< The shard's owner.
    WallTime claimedAt;

    friend bool operator==(const OperatorOrder &, const OperatorOrder &) = default;
};

/**
 * \class OperatorLimit
 * \brief One organisation's limits and their use in the answer to `GET /operator/limits`.
 */
struct OperatorLimit {
    OrganisationId organisation;
    double requestsPerSecond = 0; ///< Fleet-wide limit; 0 means none.
    double requestsPerSecondHere = 0; ///< This host's share.
    std::uint64_t tokensInFlight = 0; ///< Fleet-wide limit; 0 means none.
    std::uint64_t tokensInFlightHere = 0; ///< This host's share.
    std::uint64_t tokensUsedHere = 0;
    std::uint64_t refused = 0; ///< Requests refused on this host since it started.

    friend bool operator==(const OperatorLimit &, const OperatorLimit &) = default;
};

/// Body `{"orders": [...]}`.
nlohmann::json encodeOperatorOrders(const std::vector<OperatorOrder> &orders);
std::optional<std::vector<OperatorOrder>> decodeOperatorOrders(std::string_view text, ConfigurationProblems &problems);

/// Body `{"limits": [...]}`.
nlohmann::json encodeOperatorLimits(const std::vector<OperatorLimit> &limits);
std::optional<std::vector<OperatorLimit>> decodeOperatorLimits(std::string_view text, ConfigurationProblems &problems);

/// Body `{"changes": [...]}` of `GET /operator/history`, oldest first.
nlohmann::json encodeHistory(const std::vector<RecentChange> &changes);
std::optional<std::vector<RecentChange>> decodeHistory(std::string_view text, ConfigurationProblems &problems);

}
