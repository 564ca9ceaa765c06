#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace Mangofall {

/**
 * \class Fingerprint
 * \brief Identifies repeats of a request: its organisation and the hash of its content.
 */
struct RequestFingerprint {
    OrganisationId organisation;
    std::string contentHash; ///< From contentHash() over the request's body.

    friend bool operator==(const RequestFingerprint &, const RequestFingerprint &) = default;

    friend bool operator<(const RequestFingerprint &left, const RequestFingerprint &right)
    {
        return std::tie(left.contentHash, left.organisation.value()) < std::tie(right.contentHash, right.organisation.value());
    }
};

/**
 * \class CrashLoss
 * \brief One crash of an upstream.
 */
struct CrashLoss {
    UpstreamId upstream;
    std::uint64_t epoch = 0; ///< The upstream's epoch that ended.
    HostId reporter; ///< The dispatcher host that saw the crash.

    friend bool operator==(const CrashLoss &, const CrashLoss &) = default;

    friend bool operator<(const CrashLoss &left, const CrashLoss &right)
    {
        return std::tie(left.epoch, left.upstream.value(), left.reporter.value()) < std::tie(right.epoch, right.upstream.value(), right.reporter.value());
    }
};

/**
 * \class CrashNotice
 * \brief All that the sender knows of one fingerprint; receivers merge notices by union, so order and repeats do not matter.
 */
struct CrashNotice {
    std::uint64_t number = 0; ///< Unique per sender; named in the acknowledgement.
    RequestFingerprint fingerprint;
    std::set<CrashLoss> losses; ///< Crashes while a copy of the request was running.
    std::set<CrashLoss> cleared; ///< Losses of which a later run alone acquitted the request.
    Duration remaining{0}; ///< Until the sender's entry expires; a receiver keeps a merged entry no longer, so that resent notices do not renew it.
};

}
