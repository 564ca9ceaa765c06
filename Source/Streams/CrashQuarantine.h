#pragma once

#include "Base/Time.h"
#include "Streams/CrashNotice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Mangofall {

/**
 * \class QuarantineLimits
 * \brief Timeouts and memory bounds of the crash quarantine.
 */
struct QuarantineLimits {
    Duration noticeTimeout = std::chrono::seconds(1); ///< Time to wait for a peer's acknowledgement.
    Duration resendInterval = std::chrono::milliseconds(250); ///< Interval at which unacknowledged notices are sent again.
    Duration lifetime = std::chrono::minutes(10); ///< Entries expire this long after their last change.
    std::size_t maxEntries = 10'000; ///< Maximum number of fingerprints with crashes on record.
};

/// The live hosts other than this one.
struct PeersChanged {
    std::vector<HostId> peers;
};

/// A dispatcher of this host started a run of the request on the upstream, as decide() allowed.
struct RunStarted {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
};

/// A run that RunStarted reported has ended.
struct RunEnded {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
    bool completed = false; ///< Whether the whole answer arrived.
};

/// An upstream of this host's dispatchers crashed; planned stops are not crashes. The listed runs have ended.
struct UpstreamCrashed {
    UpstreamId upstream;
    std::uint64_t epoch = 0;
    std::vector<RequestFingerprint> running; ///< Requests that were running on the upstream when it crashed.
};

/// A peer's crash notice arrived.
struct NoticeReceived {
    HostId from;
    CrashNotice notice;
};

/// A peer acknowledged a notice of this host.
struct NoticeAcknowledged {
    HostId from;
    CrashNotice notice; ///< Notice that the peer's AcknowledgeNotice carried.
};

/// Time passed: due notices are resent, timeouts apply and old entries expire.
struct QuarantineTick {
};

using QuarantineEvent = std::variant<PeersChanged, RunStarted, RunEnded, UpstreamCrashed, NoticeReceived, NoticeAcknowledged, QuarantineTick>;

/// Sends a crash notice to a peer.
struct SendNotice {
    HostId to;
    CrashNotice notice;
};

/// Acknowledges a peer's notice. The answer carries what this host knows, because its own notice of another crash may still be in transit.
struct AcknowledgeNotice {
    HostId to;
    CrashNotice notice; ///< Has the number of the acknowledged notice.
};

/// Cancels a run of a request that has become suspected; may be repeated until RunEnded.
struct CancelRun {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
};

/// The peers know of the crash or timed out, so the failure may now be reported to the caller or retried. Until then the dispatcher withholds it.
struct ReleaseFailure {
    RequestFingerprint fingerprint;
};

using QuarantineAction = std::variant<SendNotice, AcknowledgeNotice, CancelRun, ReleaseFailure>;

/// Whether and how a dispatcher may run a request.
enum class RunRule {
    Run, ///< The request is not suspected.
    RunIsolated, ///< The request is suspected: only on an upstream without any other request, which gets none until this run ends.
    Wait, ///< A notice is not yet acknowledged or the request is already running.
    RunElsewhere, ///< Only dispatchers of the host that reported the crash may run the request.
    Refuse, ///< The request is quarantined.
};

struct RunDecision {
    RunRule rule = RunRule::Run;
    HostId host; ///< Host that may run the request; set only for RunElsewhere.
};

/**
 * \class CrashQuarantine
 * \brief Keeps a request that crashes upstreams from crashing more than two of them.
 *
 * Every request that was running on an upstream when it crashed becomes suspected. A suspected request runs in isolation: without other requests
 * on its upstream, one run at a time, only through the host that reported the crash, and only after all peers have acknowledged the notice or timed
 * out. A second crash therefore identifies exactly the request that caused it, and the other requests that were running at the first crash are
 * cleared when their isolated runs complete. With two losses that are not cleared a request is quarantined until its entry expires.
 *
 * The bound of two holds if at most two runs of the request are in progress when the first crash happens. The notice cancels further runs on other
 * upstreams, but they may crash their upstreams before it arrives.
 */
class CrashQuarantine
{
public:
    CrashQuarantine(HostId localHost, const QuarantineLimits &limits);

    /// Processes one event and returns the actions to carry out, in order.
    std::vector<QuarantineAction> handle(const QuarantineEvent &event, TimePoint now);
    /// Whether and how a dispatcher of this host may run the request now.
    RunDecision decide(const RequestFingerprint &fingerprint, TimePoint now) const;
    /// Whether a suspected request runs in isolation on the upstream, which therefore must get no other request.
    bool isReserved(const UpstreamId &upstream) const;
    /// Notices of all entries, for a peer that has just connected and sent Hello.
    std::vector<CrashNotice> snapshot(TimePoint now) const;
    /// Number of fingerprints with crashes on record.
    std::size_t size() const;

private:
    struct Entry {
        std::set<CrashLoss> losses;
        std::set<CrashLoss> cleared;
        std::uint64_t notice = 0; ///< Number of the last notice sent.
        std::unordered_set<HostId> unacknowledgedPeers; ///< Peers that have not acknowledged that notice.
        TimePoint acknowledgementDeadline; ///< When the remaining peers are no longer waited for.
        TimePoint nextResend;
        bool failureWithheld = false; ///< Whether ReleaseFailure is still to come.
        TimePoint expiresAt;
    };
    using Entries = std::map<RequestFingerprint, Entry>;

    void on(const PeersChanged &event, TimePoint now);
    void on(const RunStarted &event, TimePoint now);
    void on(const RunEnded &event, TimePoint now);
    void on(const UpstreamCrashed &event, TimePoint now);
    void on(const NoticeReceived &event, TimePoint now);
    void on(const NoticeAcknowledged &event, TimePoint now);
    void on(const QuarantineTick &event, TimePoint now);

    /// Losses that no isolated run has cleared.
    static std::set<CrashLoss> unclearedLosses(const Entry &entry);
    static CrashNotice makeNotice(const RequestFingerprint &fingerprint, const Entry &entry, TimePoint now);
    /// Returns the entry of \p fingerprint; creates one if there is none or it has expired.
    Entry &findOrCreate(const RequestFingerprint &fingerprint, TimePoint now);
    /// Merges \p notice by set union and cancels the request's runs if it adds an uncleared loss.
    Entry &merge(const CrashNotice &notice, TimePoint now);
    /// Sends a new notice to all peers and renews the entry's lifetime.
    void broadcastNotice(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now);
    /// Releases a withheld failure once all peers have acknowledged the notice or timed out.
    void releaseFailureIfDue(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now);
    void cancelRuns(const RequestFingerprint &fingerprint);
    void evictEntry();

    HostId m_localHost;
    QuarantineLimits m_limits;
    std::unordered_set<HostId> m_peers;
    Entries m_entries;
    std::map<RequestFingerprint, std::vector<UpstreamId>> m_running; ///< Upstreams of this host on which each request is running.
    std::unordered_map<UpstreamId, RequestFingerprint> m_isolatedRuns; ///< Upstreams with an isolated run of a suspected request.
    std::uint64_t m_lastNotice = 0;
    std::vector<QuarantineAction> m_actions;
};

}
