#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Mangofall {

enum class EngineCommandKind {
    LoadWeights, ///< Of a model or adapter, in the version that the subject names.
    UnloadWeights,
    SetRole,
};

/**
 * \class EngineCommand
 * \brief A state that an engine is to reach; running it again changes nothing.
 */
struct EngineCommand {
    std::uint64_t id = 0; ///< Unique within the commander.
    EngineCommandKind kind = EngineCommandKind::LoadWeights;
    std::string subject; ///< Weights or role.

    friend bool operator==(const EngineCommand &, const EngineCommand &) = default;
};

/**
 * \class EngineState
 * \brief What an engine reports about the effects of commands.
 */
struct EngineState {
    std::set<std::string> weights;
    std::string role;

    friend bool operator==(const EngineState &, const EngineState &) = default;
};

/// Whether \p command has had its effect in \p state.
bool satisfies(const EngineState &state, const EngineCommand &command);

}
