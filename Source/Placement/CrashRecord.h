#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/CrashExplanation.h"
#include "Placement/EvictedSuspects.h"
#include "Placement/RecentSuspects.h"
#include "Placement/SuspectState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Mangofall::Placement {

/// Whether a request may be sent, as far as crashes of upstreams tell.
enum class CrashStanding {
    Free, ///< None of its suspects is held.
    TrialDue, ///< A suspect is held, and the request may be sent to test it.
    Held, ///< A suspect is held, and no test is due.
};

/// The answer of CrashRecord::check().
struct CrashVerdict {
    CrashStanding standing = CrashStanding::Free;
    Duration wait{}; ///< Time until a test is due; zero unless held.
};

/**
 * \class CrashRecord
 * \brief Counts the crashes of upstreams by suspect, and holds back requests with a suspect that appears to cause them.
 *
 * A crash breaks off all requests that run at the upstream, however far their answers are, so that it is counted against each of their suspects. A harmful
 * one may end the upstream at any moment of its answer; only an answer that is complete shows that its suspects are harmless, and clears them. Crashes that a
 * host sees at one moment, for example because its connections are reset, count as one against a part; so do, for longer, those of a part with which requests
 * have ended well lately.
 *
 * A held suspect is tested with pauses that grow, and sooner by a request that is not suspicious otherwise: one whose crashes are all explained by held
 * suspects that it does not have. They explain a crash that counts against them too, and, for fewer tests, one at the same moment as such a crash.
 * Tests of different suspects keep a distance, so that a harmful one does not end the test of a sound one at the same upstream.
 *
 * Hosts exchange the states of their records; the result does not depend on the order in which the states arrive, or on lost or repeated ones.
 */
class CrashRecord
{
public:
    /// In ascending order, without repetitions.
    using Suspects = std::vector<SuspectId>;

    /// A state that has changed since the last call of takeChanges().
    struct Change {
        SuspectState state;
        bool local = false; ///< Whether this host made the change, rather than another one.
        bool concernsAll = false; ///< Whether the suspect is held, or was held before the change.
    };

    /// Records that a process of \p upstream, which \p start tells from others of the same id, ended while a request with the suspects ran there. A request
    /// that was sent to an upstream that had just crashed says nothing about its suspects.
    void recordCrash(const Suspects &suspects, const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt, TimePoint now);
    /// The same for the parts of its prompt, which many other requests have: against each part, crashes at one moment count as one.
    void recordCrashOfParts(const Suspects &parts, const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt, TimePoint now);
    /// Records that a request with these parts ran without harm, which clears them.
    void recordSuccess(const Suspects &parts, TimePoint now);
    /// The same for a request as a whole.
    void recordRequestSuccess(SuspectId fingerprint, TimePoint now);
    /// Records that the answer to a request with the suspects has begun, which clears those whose crashes are explained by held suspects that it does not have.
    void recordBegin(const Suspects &suspects, TimePoint now);

    CrashVerdict check(const Suspects &suspects, TimePoint now) const;
    /// What makes a test due.
    enum class TrialGround {
        Pause, ///< The suspect was held for long enough.
        Explained, ///< The crashes of the suspects are explained by others.
    };

    /// Records that a request whose test was due has been granted.
    TrialGround startTrial(const Suspects &suspects, TimePoint now);
    /// The granted request was never sent, so that nothing was tested: the test does not lengthen the pause before the next one.
    void returnTrial(const Suspects &suspects, TrialGround ground, TimePoint now);

    /// Adds what another host knows, and returns what is known now.
    SuspectState merge(const SuspectState &other, TimePoint now);
    /// The states that were changed since the last call.
    std::vector<Change> takeChanges();
    /// The states with crashes that are not cleared: those that are held and, of many others, those with the most crashes.
    std::vector<SuspectState> states(TimePoint now) const;
    /// Forgets what has not changed for long. Cheap to call often.
    void expire(TimePoint now);

    std::size_t heldCount() const;

private:
    struct Entry {
        SuspectState state;
        TimePoint lastChange;
        std::optional<TimePoint> lastCrash; ///< When this host last recorded a crash.
        TimePoint nextTrial; ///< Set while the suspect is held.
        TimePoint nextExoneration; ///< When a request whose crashes others explain may test the suspect again.
        std::uint32_t exonerations = 0; ///< Such tests since the last success.
        bool crashedSinceTest = false; ///< Whether a crash has followed such a test. Crashes of the same moment then explain nothing any more.
    };

    struct KnownCrash {
        TimePoint at; ///< When this host first knew of the crash.
        bool timeKnown = false; ///< Whether the crash happened about then.
    };

    /// What explains a crash of one suspect by those of another.
    enum class Explanation {
        SameCrash, ///< The same crash counts against both.
        SameMoment, ///< A crash at the same moment counts against the other one.
    };

    struct ChangeFlags {
        bool local = false;
        bool concernsAll = false;
    };

    /// Counts a crash against the suspects but for those that had another one less than \p moment ago.
    void countCrash(CrashId crash, const Suspects &suspects, Duration moment, TimePoint now);
    /// The crash that ended a request; empty if the upstream was known to be down when the request was sent.
    std::optional<CrashId> crashOf(const UpstreamId &upstream, std::uint64_t start, TimePoint sentAt) const;
    /// The time before which no test may begin, for the sake of tests that may still be running.
    TimePoint earliestTest(bool explained) const;
    /// The held ones of the suspects.
    std::vector<const Entry *> heldEntries(const Suspects &suspects) const;
    /// The crashes of the held suspects that are not among \p suspects.
    CrashExplanation crashesOfOthers(const Suspects &suspects) const;
    /// Returns whether each crash of the held entries is explained by a held suspect that is not among \p suspects. False after too many tests on that ground.
    bool explainedByOthers(const std::vector<const Entry *> &held, const Suspects &suspects) const;
    /// Returns whether each crash of the entry is explained by \p others.
    bool isExplained(const Entry &entry, const CrashExplanation &others, Explanation explanation) const;
    /// When the crash happened; empty if this host does not know.
    std::optional<TimePoint> timeOf(CrashId crash) const;
    /// The crashes that count against the suspect, those at one moment as one if it was sound lately.
    std::size_t countedCrashes(const SuspectState &state, TimePoint now) const;
    void clear(Entry &entry, TimePoint now);
    Entry &entryFor(SuspectId suspect, TimePoint now);
    /// Updates what depends on the state after a change.
    void changed(Entry &entry, bool local, TimePoint now);
    /// Makes room for new entries by evicting those with the fewest crashes.
    void evictLeastSuspicious();
    static bool isRecent(const Entry &entry, TimePoint now);

    std::map<SuspectId, Entry> m_entries;
    std::set<SuspectId> m_held;
    EvictedSuspects m_evicted;
    RecentSuspects m_sound; ///< Parts with which requests have ended well lately.
    std::map<CrashId, KnownCrash> m_crashes;
    TimePoint m_lastTrial; ///< When a suspect was last tested that others do not explain, here or at another host.
    TimePoint m_lastExoneration; ///< When one was last tested that others explain.
    TimePoint m_expiredAt;
    std::map<SuspectId, ChangeFlags> m_changes; ///< The suspects to return from takeChanges().
};

}
