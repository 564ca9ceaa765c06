#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/ConfigurationProblem.h"
#include "Config/DeclaredFleet.h"
#include "Config/FleetConfiguration.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Mangofall {

/// Adds a preset or replaces the one with the same name.
struct PutPreset {
    Preset preset;
    friend bool operator==(const PutPreset &, const PutPreset &) = default;
};

/// Puts a preset in force.
struct UsePreset {
    PresetName name;
    friend bool operator==(const UsePreset &, const UsePreset &) = default;
};

/// A data centre, host or upstream that can be taken out of service.
using ServiceUnit = std::variant<DataCentreId, HostId, UpstreamId>;

/// Takes a data centre, host or upstream out of service.
struct TakeOut {
    ServiceUnit unit;
    friend bool operator==(const TakeOut &, const TakeOut &) = default;
};

/// Returns a data centre, host or upstream to service; has no effect on a unit that is in service.
struct Restore {
    ServiceUnit unit;
    friend bool operator==(const Restore &, const Restore &) = default;
};

/// Replaces presets, organisations, upstreams and routes. The preset in force stays, and so do the units that are out of service, except upstreams
/// that are no longer declared.
struct ReplaceFleet {
    DeclaredFleet fleet;
    friend bool operator==(const ReplaceFleet &, const ReplaceFleet &) = default;
};

/**
 * \class ConfigurationChange
 * \brief A change of the configuration by an operator; repeating it with the same id has no further effect.
 */
struct ConfigurationChange {
    ChangeId id;
    std::variant<PutPreset, UsePreset, TakeOut, Restore, ReplaceFleet> action;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

/// Encodes the body of `POST /operator/changes`.
nlohmann::json encodeChange(const ConfigurationChange &change);
/// Decodes the body of `POST /operator/changes`; problems are added to \p problems, and the result is empty if there are any.
std::optional<ConfigurationChange> decodeChange(std::string_view text, ConfigurationProblems &problems);

/// Describes \p change in one line for the history, such as `use preset peak`.
std::string changeSummary(const ConfigurationChange &change);

/// The next configuration, or the reason why the change cannot be applied.
using ChangeOutcome = std::variant<FleetConfiguration, std::string>;

/// Applies \p change to \p base and increments the revision. \p base is the empty configuration if none exists yet; \p time is recorded in the history.
ChangeOutcome applyChange(const FleetConfiguration &base, const ConfigurationChange &change, WallTime time);

}
