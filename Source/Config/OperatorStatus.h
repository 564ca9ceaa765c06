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
 * \brief State of one host, as known to the answering host.
 */
struct OperatorHostStatus {
    HostId id;
    DataCentreId dataCentre;
    std::string state; ///< `alive`, `suspect`, `dead` or `leaving`.
    Revision revision = 0; ///< Revision of the configuration in force on the host, from its last heartbeat.

    friend bool operator==(const OperatorHostStatus &, const OperatorHostStatus &) = default;
};

/**
 * \class OperatorUpstreamStatus
 * \brief State of one upstream, as known to the answering host.
 */
struct OperatorUpstreamStatus {
    UpstreamId id;
    DataCentreId dataCentre;
    std::string state; ///< Name of the upstream's state in UpstreamHealth, such as `warm`.
    std::uint32_t inFlight = 0; ///< Number of requests in flight.
    std::uint32_t cap = 0; ///< Largest number of requests in flight.

    friend bool operator==(const OperatorUpstreamStatus &, const OperatorUpstreamStatus &) = default;
};

/**
 * \class OperatorStatus
 * \brief State of the fleet in the answer to `GET /operator/status`.
 */
struct OperatorStatus {
    HostId hostId; ///< The answering host.
    Revision revision = 0; ///< Revision of the configuration in force on the answering host.
    PresetName presetInForce; ///< Empty before the first configuration.
    bool admitting = false;
    OutOfService outOfService;
    std::vector<OperatorHostStatus> hosts; ///< All known hosts, including the answering one.
    std::vector<OperatorUpstreamStatus> upstreams;

    friend bool operator==(const OperatorStatus &, const OperatorStatus &) = default;
};

nlohmann::json encodeOperatorStatus(const OperatorStatus &status);
std::optional<OperatorStatus> decodeOperatorStatus(std::string_view text, ConfigurationProblems &problems);

}
