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
 * \brief Bounded queue with one lane per length class and self-clocked weighted fair queueing between organisations in each lane.
 */
class DispatchQueue
{
public:
    /// Constructs a queue of at most \p limit attempts.
    explicit DispatchQueue(std::size_t limit);

    void setLimit(std::size_t limit);
    bool full() const;
    std::size_t size() const;
    std::size_t size(LengthClass lengthClass) const;
    bool contains(const AttemptId &attempt) const;

    /// The uncached prompt tokens that are queued in the lane of \p lengthClass.
    std::uint64_t tokens(LengthClass lengthClass) const;

    /// Adds \p attempt, which must not be queued yet; the queue must not be full.
    void push(const QueuedAttempt &attempt);

    /// The first attempt of the lane in fair order that has at most \p maxTokens uncached tokens; null if there is none.
    const QueuedAttempt *front(LengthClass lengthClass, std::uint64_t maxTokens) const;

    /// Removes \p attempt because it is sent, which advances the lane's virtual time. Empty if it is not queued.
    std::optional<QueuedAttempt> take(const AttemptId &attempt);

    /// Removes \p attempt without sending it. Empty if it is not queued.
    std::optional<QueuedAttempt> remove(const AttemptId &attempt);

    /// All attempts, first the short lane, then the medium and the long one, each in fair order.
    std::vector<const QueuedAttempt *> inOrder() const;

    /// The number and the uncached tokens of the attempts that would be before \p attempt in its lane.
    std::pair<std::size_t, std::uint64_t> aheadInLane(const QueuedAttempt &attempt) const;

    /// The attempt to drop so that \p incoming fits: the newest of the organisation that has the most attempts in relation to
    /// its weight. Empty if that is the organisation of \p incoming or if that organisation already has its share of the queue.
    std::optional<AttemptId> findEvictionCandidate(const QueuedAttempt &incoming) const;

private:
    using Lane = std::multimap<double, QueuedAttempt>; ///< Key: virtual finish time.
    struct LaneState {
        Lane lane;
        double virtualTime = 0;
        std::unordered_map<OrganisationId, double> lastFinish;
        std::uint64_t tokens = 0;
    };

    static double virtualFinishTime(const LaneState &state, const QueuedAttempt &attempt);
    std::optional<QueuedAttempt> erase(const AttemptId &attempt, bool served);

    std::size_t m_limit;
    PerClass<LaneState> m_lanes;
    std::unordered_map<AttemptId, std::pair<LengthClass, Lane::iterator>> m_index;
};

}
