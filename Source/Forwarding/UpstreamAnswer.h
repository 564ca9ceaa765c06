#pragma once

#include "Base/Ids.h"
#include "Config/NetworkAddress.h"
#include "Http/HttpExchange.h"
#include "Placement/ReportedLoad.h"
#include "Placement/UpstreamNotice.h"

#include <optional>

namespace Mangofall::Forwarding {

/**
 * \class UpstreamAnswer
 * \brief An upstream's answer header, evaluated for the request that was sent.
 */
struct UpstreamAnswer {
    unsigned status = 0;
    bool authentic = false; ///< Carries the upstream's signature and the id of the request that was sent.
    bool answersOtherRequest = false; ///< Carries the id of another, earlier request.
    bool provenNotExecuted = false; ///< Proves that the request did not run and never will.
    bool wrongUpstream = false; ///< An upstream other than the assigned one answered at the address.
    bool encoded = false; ///< The body has a content encoding although none was requested.
    Placement::UpstreamNotice notice; ///< What the upstream says about itself.
    std::optional<Placement::ReportedLoad> load; ///< The load that the upstream reports; empty if it reports none.
    std::optional<NetworkAddress> faultyHelper; ///< Address of the helper engine that caused a refusal.
    HeaderFields fields; ///< Header fields to pass on to the caller.
};

}
