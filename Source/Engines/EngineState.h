#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Mangofall {

enum class EngineCommandKind {
    LoadWeights, ///< Loads the weights of a model or adapter, in the version that \c subject names.
    UnloadWeights,
    SetRole,
};

/**
 * \class EngineCommand
 * \brief An idempotent command that brings an engine to a state.
 */
struct EngineCommand {
    std::uint64_t id = 0; ///< Unique within one EngineCommander.
    EngineCommandKind kind = EngineCommandKind::LoadWeights;
    std::string subject; ///< Name of the weights, or the role.

    friend bool operator==(const EngineCommand &, const EngineCommand &) = default;
};

/**
 * \class EngineState
 * \brief The part of an engine's reported state that commands change.
 */
struct EngineState {
    std::set<std::string> weights;
    std::string role;

    friend bool operator==(const EngineState &, const EngineState &) = default;
};

/// Whether \p command has had its effect in \p state.
bool satisfies(const EngineState &state, const EngineCommand &command);

}
