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

/// Action: asks the dispatcher of \p upstream for memory; answered by ReserveAtAnswered.
struct ReserveAt {
    UpstreamId upstream;
    AttemptId owner;
    std::uint64_t tokens = 0;
    bool isRenewal = false;
};

/// Action: gives memory and blocks at \p upstream back.
struct ReleaseAt {
    UpstreamId upstream;
    AttemptId owner;
};

enum class ChainStepKind {
    Import, ///< Take over the block that the previous engine exported.
    Prefill,
    Export,
    Decode,
};

/// Action: runs one step of the chain at the segment's engine; answered by ChainStepEnded.
struct RunChainStep {
    ChainStepKind kind = ChainStepKind::Prefill;
    AttemptId owner;
    PromptSegment segment;
    KvBlockId block; ///< Import: the block to take over.
};

/// Action: the request ended; None if the decode step finished.
struct LongPromptEnded {
    ErrorKind error = ErrorKind::None;
    bool anyStepSent = false; ///< Whether any engine got work; "not run" may be said only if not.
};

using LongPromptAction = std::variant<ReserveAt, ReleaseAt, RunChainStep, LongPromptEnded>;
using LongPromptActions = std::vector<LongPromptAction>;

/// Event: a dispatcher's answer to ReserveAt.
struct ReserveAtAnswered {
    UpstreamId upstream;
    AttemptId owner;
    bool granted = false;
};

/// Event: the step that runs at \p upstream ended.
struct ChainStepEnded {
    UpstreamId upstream;
    AttemptId owner;
    ChainStepKind kind = ChainStepKind::Prefill;
    bool succeeded = false;
    KvBlockId block; ///< Export: the exported block.
};

/// Event: the caller left, or the host gives the request up.
struct CancelLongPrompt {
    ErrorKind reason = ErrorKind::Cancelled;
};

/// Event: time passes.
struct LongPromptTick {
};

}
