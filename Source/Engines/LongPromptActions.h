#pragma once

#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Engines/KvBlock.h"
#include "Engines/LongPromptPlan.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Mangofall {

/// Action: asks the dispatcher of \c upstream to reserve memory for \c owner; answered by ReserveAtAnswered.
struct ReserveAt {
    UpstreamId upstream;
    AttemptId owner;
    std::uint64_t tokens = 0; ///< Memory to reserve, in tokens.
    bool isRenewal = false;
};

/// Action: releases the memory reservation and the KV blocks of \c owner at \c upstream.
struct ReleaseAt {
    UpstreamId upstream;
    AttemptId owner;
};

enum class ChainStepKind {
    Import, ///< Imports the block that the previous engine exported.
    Prefill,
    Export,
    Decode,
};

/// Action: runs one step of the chain at the segment's engine; answered by ChainStepEnded.
struct RunChainStep {
    ChainStepKind kind = ChainStepKind::Prefill;
    AttemptId owner;
    PromptSegment segment;
    KvBlockId block; ///< The block to import; set for Import only.
};

/// Action: the request ended; \c error is None if the decode step finished.
struct LongPromptEnded {
    ErrorKind error = ErrorKind::None;
    bool anyStepSent = false; ///< Whether a step was sent to any engine; only if false may the request be reported as not run.
};

using LongPromptAction = std::variant<ReserveAt, ReleaseAt, RunChainStep, LongPromptEnded>;
using LongPromptActions = std::vector<LongPromptAction>;

/// Event: a dispatcher answered ReserveAt.
struct ReserveAtAnswered {
    UpstreamId upstream;
    AttemptId owner;
    bool granted = false;
};

/// Event: the step that ran at \c upstream ended.
struct ChainStepEnded {
    UpstreamId upstream;
    AttemptId owner;
    ChainStepKind kind = ChainStepKind::Prefill;
    bool succeeded = false;
    KvBlockId block; ///< The exported block; set for Export only.
};

/// Event: the caller disconnected, or the host cancels the request.
struct CancelLongPrompt {
    ErrorKind reason = ErrorKind::Cancelled;
};

/// Event: periodic tick that checks timeouts, renewals and the deadline.
struct LongPromptTick {
};

}
