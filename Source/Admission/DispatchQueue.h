#pragma once

#include "Admission/QueuedAttempt.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Mangofall {

/**
 * \class DispatchQueue
 * \brief Bounded queue with one lane per length class and self-clocked weighted fair queueing within each lane.
 */
class DispatchQueue
{
public:
    /// Holds at most \p limit attempts.
    explicit DispatchQueue(std::size_t limit);

    void setLimit(std::size_t limit);
    bool full() const;
    std::size_t size() const;
    std::size_t size(LengthClass lengthClass) const;
    bool contains(const AttemptId &attempt) const;

    /// Uncached tokens queued in the lane.
    std::uint64_t tokens(LengthClass lengthClass) const;

    /// Adds an attempt that is not yet queued; the queue must not be full.
    void push(const QueuedAttempt &attempt);

    /// First attempt of the lane in fair order with at most \p maxTokens uncached tokens; null if there is none.
    const QueuedAttempt *front(LengthClass lengthClass, std::uint64_t maxTokens) const;

    /// Removes \p attempt because it is served, which advances the lane's virtual time.
    std::optional<QueuedAttempt> take(const AttemptId &attempt);

    /// Removes \p attempt without service.
    std::optional<QueuedAttempt> remove(const AttemptId &attempt);

    /// All attempts in the order of service: short, medium, long, each lane in fair order.
    std::vector<const QueuedAttempt *> inOrder() const;

    /// Place that \p attempt would get in its lane: attempts and tokens of the lane before it.
    std::pair<std::size_t, std::uint64_t> aheadInLane(const QueuedAttempt &attempt) const;

    /// The attempt to drop so that \p newcomer fits: the newest of the organisation that exceeds its share most. Empty if
    /// \p newcomer's organisation already has its share of the queue.
    std::optional<AttemptId> victimFor(const QueuedAttempt &newcomer) const;

private:
    using Lane = std::multimap<double, QueuedAttempt>; ///< By virtual finish time.
    struct LaneState {
        Lane lane;
        double virtualTime = 0;
        std::unordered_map<OrganisationId, double> lastFinish;
        std::uint64_t tokens = 0;
    };

    static double finishTime(const LaneState &state, const QueuedAttempt &attempt);
    std::optional<QueuedAttempt> erase(const AttemptId &attempt, bool served);

    std::size_t m_limit;
    PerClass<LaneState> m_lanes;
    std::unordered_map<AttemptId, std::pair<LengthClass, Lane::iterator>> m_index;
};

}
