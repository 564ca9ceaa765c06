#pragma once

#include "Base/Ids.h"
#include "Forwarding/AttemptOutcome.h"
#include "Http/HttpExchange.h"
#include "Placement/GrantOutcome.h"

#include <optional>
#include <string>

namespace Mangofall::Forwarding {

/**
 * \class AttemptResult
 * \brief Result of sending a request to an upstream once.
 */
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    Placement::GrantOutcome grantOutcome = Placement::GrantOutcome::Unreachable;
    std::string cause; ///< Why the attempt failed, for logs and metrics; empty if it succeeded.
    unsigned status = 0;
    HeaderFields fields;
    std::string body; ///< Body of a whole answer; empty for streams, which are relayed as they arrive.
    std::optional<UpstreamId> faulty; ///< The helper at fault, if it was not the upstream itself.
};

}
