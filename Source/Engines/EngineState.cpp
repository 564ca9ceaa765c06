#include "Engines/EngineState.h"

namespace Mangofall {

bool satisfies(const EngineState &state, const EngineCommand &command)
{
    switch (command.kind) {
    case EngineCommandKind::LoadWeights:
        return state.weights.contains(command.subject);
    case EngineCommandKind::UnloadWeights:
        return !state.weights.contains(command.subject);
    case EngineCommandKind::SetRole:
        return state.role == command.subject;
    }
    return false;
}

}
