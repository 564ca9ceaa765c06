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
 * \brief Identifies repeats of the same request by its organisation and the hash of its content.
 */
struct RequestFingerprint {
    OrganisationId organisation;
    std::string contentHash; ///< Result of contentHash() for the request's body.

    friend bool operator==(const RequestFingerprint &, const RequestFingerprint &) = default;

    friend bool operator<(const RequestFingerprint &left, const RequestFingerprint &right)
    {
        return std::tie(left.contentHash, left.organisation.value()) < std::tie(right.contentHash, right.organisation.value());
    }
};

/**
 * \class CrashLoss
 * \brief One crash of an upstream while a run of a request was in progress there.
 */
struct CrashLoss {
    UpstreamId upstream;
    std::uint64_t epoch = 0; ///< Epoch of the upstream that ended with the crash.
    HostId reporter; ///< Host whose dispatcher detected the crash.

    friend bool operator==(const CrashLoss &, const CrashLoss &) = default;

    friend bool operator<(const CrashLoss &left, const CrashLoss &right)
    {
        return std::tie(left.epoch, left.upstream.value(), left.reporter.value()) < std::tie(right.epoch, right.upstream.value(), right.reporter.value());
    }
};

/**
 * \class CrashNotice
 * \brief Everything that the sender knows about one fingerprint.
 *
 * Receivers merge notices by set union, so the order of notices and repeated notices do not matter.
 */
struct CrashNotice {
    std::uint64_t number = 0; ///< Unique per sender; the acknowledgement repeats it.
    RequestFingerprint fingerprint;
    std::set<CrashLoss> losses; ///< Crashes that happened while the request was running on the upstream.
    std::set<CrashLoss> cleared; ///< Losses that the request did not cause, as shown by a later isolated run that completed.
    Duration remaining{0}; ///< Time until the sender's entry expires. A receiver keeps a merged entry no longer, so that resent notices do not extend it.
};

}
