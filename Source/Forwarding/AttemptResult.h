#pragma once

#include "Base/Ids.h"
#include "Forwarding/AttemptOutcome.h"
#include "Http/HttpExchange.h"
#include "Placement/GrantOutcome.h"

#include <optional>
#include <string>

namespace Mangofall::Forwarding {

/**
 * \class Transmission
 * \brief What became of sending a request to an upstream once.
 */
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    Placement::GrantOutcome work = Placement::GrantOutcome::Unreachable;
    std::string cause; ///< For logs and metrics; empty for a whole answer.
    unsigned status = 0;
    HeaderFields fields;
    std::string body; ///< Of a whole answer.
    std::optional<UpstreamId> faulty; ///< The helper at fault, if it was not the upstream itself.
};

}
