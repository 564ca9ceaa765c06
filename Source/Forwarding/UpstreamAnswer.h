#pragma once

#include "Base/Ids.h"
#include "Config/NetworkAddress.h"
#include "Http/HttpExchange.h"

#include <optional>

namespace Mangofall::Forwarding {

/**
 * \class UpstreamAnswer
 * \brief The header of an upstream's answer.
 */
struct UpstreamAnswer {
    unsigned status = 0;
    bool authentic = false; ///< Bears the upstream's signature and the id of the request that was sent.
    bool answersOtherRequest = false; ///< Names another request: it belongs to an earlier one.
    bool provenNotExecuted = false; ///< Proves that the request did not run and never will.
    bool wrongUpstream = false; ///< Another upstream has the address.
    bool encoded = false; ///< The body is encoded although no encoding was asked for.
    std::optional<NetworkAddress> faultyHelper; ///< The engine that is to blame for a refusal.
    HeaderFields fields; ///< Header fields that the caller gets.
};

}
