#pragma once

#include "Peer/PeerMessages_generated.h"
#include "Placement/CrashRecord.h"
#include "Placement/GrantOutcome.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementRequest.h"

#include <optional>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Forwarding {

class SuspectObserver;

/**
 * \class CrashReplica
 * \brief This host's copy of what the fleet knows of requests that crash upstreams, and the messages that keep the copies of all hosts equal.
 *
 * Each entry host records what happens to its own attempts, so that nothing is lost with an owner. Owners are told all of it and count; all hosts are told
 * of the suspects that are held.
 */
class CrashReplica
{
public:
    explicit CrashReplica(EventLog &log);

    Placement::CrashRecord &record();
    const Placement::CrashRecord &record() const;

    /// What is known of an attempt of this host.
    struct Attempt {
        const Placement::PlacementRequest &request;
        const Placement::Assignment &assignment;
        TimePoint sentAt;
    };

    /// Records that the answer of a request of this host has begun.
    void answerBegan(const Placement::PlacementRequest &request, TimePoint now);
    /// Records how an attempt of this host ended.
    void attemptEnded(const Attempt &attempt, Placement::GrantOutcome outcome, TimePoint now);

    /// The refusal of a request that is to be held back, empty if it may be sent. \p assignment is the one it got; null before that.
    std::optional<Placement::Refusal> refusal(const Placement::PlacementRequest &request, const Placement::Assignment *assignment, TimePoint now) const;

    /// The observer is told of each change that this host makes.
    void setObserver(SuspectObserver *observer);
    /// Adds what another host knows. Returns what that host should learn in turn, because it counts crashes that are cleared here.
    std::optional<Wire::CrashUpdateT> apply(const Wire::CrashUpdateT &update, TimePoint now);

    /// What has changed since the last call. Either part is empty if nothing has.
    struct Update {
        std::optional<Wire::CrashUpdateT> forOwners; ///< What this host has seen by itself, which the owners count.
        std::optional<Wire::CrashUpdateT> forAll; ///< Suspects that are held, or are no longer held.
    };
    Update takeUpdate();
    /// Everything that is known, for a host that may know nothing yet; empty if nothing is known.
    std::optional<Wire::CrashUpdateT> snapshot(TimePoint now) const;

private:
    /// Logs the changes of this host; of many, those with the most crashes.
    void log(std::vector<Placement::SuspectState> states) const;
    void log(const Placement::SuspectState &state) const;

    EventLog &m_log;
    SuspectObserver *m_observer = nullptr;
    Placement::CrashRecord m_record;
};

}
