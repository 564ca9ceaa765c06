#pragma once

#include "Base/Ids.h"
#include "Config/ConfigurationProblem.h"
#include "Config/FleetConfiguration.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/**
 * \class OperatorHostStatus
 * \brief A host as the answering host sees it.
 */
struct OperatorHostStatus {
    HostId id;
    DataCentreId dataCentre;
    std::string state; ///< `alive`, `suspect`, `dead` or `leaving`.
    Revision revision = 0; ///< Configuration in force on that host by its last heartbeat.

    friend bool operator==(const OperatorHostStatus &, const OperatorHostStatus &) = default;
};

/**
 * \class OperatorUpstreamStatus
 * \brief An upstream as the answering host sees it.
 */
struct OperatorUpstreamStatus {
    UpstreamId id;
    DataCentreId dataCentre;
    std::string state; ///< State of UpstreamHealth, such as `warm`.
    std::uint32_t inFlight = 0; ///< Requests.
    std::uint32_t cap = 0; ///< Requests admitted at once.

    friend bool operator==(const OperatorUpstreamStatus &, const OperatorUpstreamStatus &) = default;
};

/**
 * \class OperatorStatus
 * \brief Answer to `GET /operator/status`.
 */
struct OperatorStatus {
    HostId hostId; ///< The answering host.
    Revision revision = 0;
    PresetName presetInForce; ///< Empty before the first configuration.
    bool admitting = false;
    OutOfService outOfService;
    std::vector<OperatorHostStatus> hosts; ///< The answering host too.
    std::vector<OperatorUpstreamStatus> upstreams;

    friend bool operator==(const OperatorStatus &, const OperatorStatus &) = default;
};

nlohmann::json encodeOperatorStatus(const OperatorStatus &status);
std::optional<OperatorStatus> decodeOperatorStatus(std::string_view text, ConfigurationProblems &problems);

}
