#pragma once

#include "Base/Time.h"
#include "Placement/EngineSpec.h"

#include <cstdint>
#include <vector>

namespace Mangofall::Placement {

class UpstreamLoad;
struct GrantLoad;
struct PlacementRequest;

/**
 * \class ForecastTask
 * \brief Work that occupies an engine for some time: a grant in use, or a reservation that has not started.
 */
struct ForecastTask {
    bool answers = false; ///< Whether the engine answers the request; otherwise it helps with the prefill.
    TimePoint prefillEnd;
    TimePoint end; ///< End of the answer, when the memory is free again.
    Duration prefillTime{};
    Duration pauseLimit{}; ///< Zero if there is none.
    std::uint64_t memoryTokens = 0;
};

/**
 * \class EngineForecast
 * \brief Predicts from when on an engine can take a part of a prompt, and how much KV memory is free then.
 *
 * The ends of answers are predicted from their longest lengths, so that an engine is usually free earlier than predicted.
 */
class EngineForecast
{
public:
    /// \p load must outlive the forecast.
    EngineForecast(const EngineSpec &spec, UpstreamLoad &load, TimePoint now);

    UpstreamLoad &load() const;
    void add(const ForecastTask &task);

    /// Returns whether the engine may run the request: its host may send to the engine, and no earlier attempt failed there.
    bool accepts(const PlacementRequest &request) const;
    /// The earliest time at which the engine can begin a part that takes \p partPrefill, so that answers in decode keep their pause limits and no long
    /// prefill is delayed.
    TimePoint availableFrom(Duration partPrefill) const;
    /// KV memory that is free at \p time, in tokens.
    std::uint64_t freeMemory(TimePoint time) const;
    /// Returns whether a slot for one more answer is free at \p time.
    bool hasSlot(TimePoint time) const;

private:
    ForecastTask taskOf(const EngineSpec &spec, const GrantLoad &grant) const;

    UpstreamLoad *m_load;
    TimePoint m_now;
    Duration m_iteration; ///< Time of an iteration with the present requests in decode.
    std::uint64_t m_memory; ///< Usable KV memory, in tokens.
    std::uint32_t m_slots;
    std::vector<ForecastTask> m_tasks;
};

/// The time that an answer of \p outputTokens takes if each iteration takes \p iteration.
Duration answerTime(const EngineSpec &spec, std::uint64_t outputTokens, Duration iteration);

}
