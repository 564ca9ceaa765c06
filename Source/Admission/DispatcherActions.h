#pragma once

#include "Admission/HandOverMessage.h"
#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Routing/UpstreamState.h"

#include <variant>

namespace Mangofall {

/// Outputs of UpstreamDispatcher.
namespace DispatcherAction {

struct Send {
    AttemptId attempt;
    int enginePriority = 0; ///< Higher goes first; value of the `x-priority` header.
};

/// The attempt ends here; \p kind tells whether another upstream may be tried.
struct Refuse {
    AttemptId attempt;
    ErrorKind kind = ErrorKind::None;
};

/// Cancel at the upstream; the attempt stays counted until it has ended there.
struct CancelUpstream {
    AttemptId attempt;
};

struct StateChanged {
    UpstreamState from = UpstreamState::Unknown;
    UpstreamState to = UpstreamState::Unknown;
};

/// A queued attempt whose entry host sends it to the upstream's next dispatcher.
struct ReturnToEntry {
    AttemptId attempt;
};

struct HandOver {
    HandOverMessage message;
};

}

using DispatcherOutput = std::variant<DispatcherAction::Send,
                                      DispatcherAction::Refuse,
                                      DispatcherAction::CancelUpstream,
                                      DispatcherAction::StateChanged,
                                      DispatcherAction::ReturnToEntry,
                                      DispatcherAction::HandOver>;

}
