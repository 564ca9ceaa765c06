#pragma once

#include "Admission/HandOverMessage.h"
#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Routing/UpstreamState.h"

#include <variant>

namespace Mangofall {

/// The actions that UpstreamDispatcher asks its environment to perform.
namespace DispatcherAction {

/// Send the attempt to the upstream.
struct Send {
    AttemptId attempt;
    int enginePriority = 0; ///< Value of the `x-priority` header; engines prefer higher values.
};

/// End the attempt with an error; \c kind tells whether another upstream may be tried.
struct Refuse {
    AttemptId attempt;
    ErrorKind kind = ErrorKind::None;
};

/// Cancel the attempt at the upstream. It counts as in flight until it has ended there.
struct CancelUpstream {
    AttemptId attempt;
};

/// The state of the upstream changed.
struct StateChanged {
    UpstreamState from = UpstreamState::Unknown;
    UpstreamState to = UpstreamState::Unknown;
};

/// Return a queued attempt to its entry host, which sends it to the upstream's next dispatcher.
struct ReturnToEntry {
    AttemptId attempt;
};

/// Send the message to the upstream's next dispatcher.
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
