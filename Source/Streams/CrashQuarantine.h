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
 * \brief Waiting times and memory bounds of the crash quarantine.
 */
struct QuarantineLimits {
    Duration noticeTimeout = std::chrono::seconds(1); ///< A peer that does not acknowledge for this time is not waited for.
    Duration resendInterval = std::chrono::milliseconds(250);
    Duration lifetime = std::chrono::minutes(10); ///< Entries expire this long after their last change.
    std::size_t maxEntries = 10'000;
};

/// The live hosts other than this one.
struct PeersChanged {
    std::vector<HostId> peers;
};

/// A dispatcher of this host sent a copy to the upstream, after decide() said so.
struct RunStarted {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
};

struct RunEnded {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
    bool completed = false; ///< The whole answer arrived.
};

/// An upstream of this host's dispatchers crashed; planned stops are not crashes. The runs named have ended.
struct UpstreamCrashed {
    UpstreamId upstream;
    std::uint64_t epoch = 0;
    std::vector<RequestFingerprint> running;
};

struct NoticeReceived {
    HostId from;
    CrashNotice notice;
};

struct NoticeAcknowledged {
    HostId from;
    CrashNotice notice; ///< From AcknowledgeNotice.
};

struct QuarantineTick {
};

using QuarantineEvent = std::variant<PeersChanged, RunStarted, RunEnded, UpstreamCrashed, NoticeReceived, NoticeAcknowledged, QuarantineTick>;

struct SendNotice {
    HostId to;
    CrashNotice notice;
};

/// The acknowledgement carries what this host knows, because its own notice of another crash may still be on its way.
struct AcknowledgeNotice {
    HostId to;
    CrashNotice notice; ///< With the number of the acknowledged notice.
};

/// Cancel a copy that is under suspicion now; may be repeated until RunEnded.
struct CancelRun {
    RequestFingerprint fingerprint;
    UpstreamId upstream;
};

/// The peers know of the crash: its failure may now be answered to the caller or retried. Until then the dispatcher holds it back.
struct ReleaseFailure {
    RequestFingerprint fingerprint;
};

using QuarantineAction = std::variant<SendNotice, AcknowledgeNotice, CancelRun, ReleaseFailure>;

enum class RunRule {
    Run, ///< Not under suspicion.
    RunAlone, ///< Only on an upstream without any other request, which gets none until this run ends.
    Wait, ///< A notice is out or a copy is running.
    RunElsewhere, ///< Only the dispatchers of the host that reported the crash may run it.
    Refuse, ///< Quarantined.
};

struct RunDecision {
    RunRule rule = RunRule::Run;
    HostId host; ///< Set for RunElsewhere.
};

/**
 * \class CrashQuarantine
 * \brief Keeps a request that crashes upstreams from taking down more than two of them.
 *
 * Every request that was running at a crash becomes a suspect. A suspect runs alone, one copy at a time, only through the host that reported the
 * crash, and only after all peers have acknowledged the notice or timed out. So a second crash incriminates exactly the request that caused it, and
 * the others that ran at the first crash are acquitted by completing. With two losses a request is quarantined until the entry expires.
 *
 * The bound of two holds as long as at most two copies run when the first crash happens. Further copies on other upstreams are stopped by the
 * notice, but may crash their upstreams before it arrives.
 */
class CrashQuarantine
{
public:
    CrashQuarantine(HostId self, const QuarantineLimits &limits);

    std::vector<QuarantineAction> handle(const QuarantineEvent &event, TimePoint now);
    /// Whether a dispatcher of this host may send the request now.
    RunDecision decide(const RequestFingerprint &fingerprint, TimePoint now) const;
    /// Whether a suspect runs alone on the upstream, which therefore must get no other request.
    bool reserved(const UpstreamId &upstream) const;
    /// All entries, for a peer that said Hello.
    std::vector<CrashNotice> snapshot(TimePoint now) const;
    std::size_t size() const;

private:
    struct Entry {
        std::set<CrashLoss> losses;
        std::set<CrashLoss> cleared;
        std::uint64_t notice = 0; ///< Number of the last notice sent.
        std::unordered_set<HostId> awaited; ///< Peers that have not acknowledged it.
        TimePoint awaitedUntil;
        TimePoint resendAt;
        bool failureHeld = false;
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

    static std::set<CrashLoss> openLosses(const Entry &entry);
    static CrashNotice makeNotice(const RequestFingerprint &fingerprint, const Entry &entry, TimePoint now);
    /// The entry, made if there is none that has not expired.
    Entry &find(const RequestFingerprint &fingerprint, TimePoint now);
    /// Merges \p notice by union and stops running copies if it adds a loss.
    Entry &merge(const CrashNotice &notice, TimePoint now);
    void announce(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now);
    void releaseIfKnown(const RequestFingerprint &fingerprint, Entry &entry, TimePoint now);
    void stopCopies(const RequestFingerprint &fingerprint);
    void evict();

    HostId m_self;
    QuarantineLimits m_limits;
    std::unordered_set<HostId> m_peers;
    Entries m_entries;
    std::map<RequestFingerprint, std::vector<UpstreamId>> m_running;
    std::unordered_map<UpstreamId, RequestFingerprint> m_alone; ///< Upstreams with a suspect that runs alone.
    std::uint64_t m_lastNotice = 0;
    std::vector<QuarantineAction> m_actions;
};

}
