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

/// What can be taken out of service.
using ServiceUnit = std::variant<DataCentreId, HostId, UpstreamId>;

/// Takes a data centre, host or upstream out of service.
struct TakeOut {
    ServiceUnit unit;
    friend bool operator==(const TakeOut &, const TakeOut &) = default;
};

/// Returns a data centre, host or upstream to service; a unit that is in service stays so.
struct Restore {
    ServiceUnit unit;
    friend bool operator==(const Restore &, const Restore &) = default;
};

/// Replaces presets, organisations, upstreams and routes; the preset in force and what is out of service stay.
struct ReplaceFleet {
    DeclaredFleet fleet;
    friend bool operator==(const ReplaceFleet &, const ReplaceFleet &) = default;
};

/**
 * \class ConfigurationChange
 * \brief One change by an operator; repeating it with the same id has no further effect.
 */
struct ConfigurationChange {
    ChangeId id;
    std::variant<PutPreset, UsePreset, TakeOut, Restore, ReplaceFleet> action;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

nlohmann::json encodeChange(const ConfigurationChange &change);
/// Decodes the body of `POST /operator/changes`; faults are added to \p problems.
std::optional<ConfigurationChange> decodeChange(std::string_view text, ConfigurationProblems &problems);

/// One line for the history, such as `use preset peak`.
std::string changeSummary(const ConfigurationChange &change);

/// The next configuration, or the reason why the change is not possible.
using ChangeOutcome = std::variant<FleetConfiguration, std::string>;

/// Applies \p change to \p base, which is the empty configuration if none exists yet. \p time goes into the history.
ChangeOutcome applyChange(const FleetConfiguration &base, const ConfigurationChange &change, WallTime time);

}
