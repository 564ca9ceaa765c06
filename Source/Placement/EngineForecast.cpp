#include "Placement/EngineForecast.h"

#include "Placement/EngineCost.h"
#include "Placement/EngineRules.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// The first event is reported about this long after the predicted end of the prefill, which leaves out network and iteration times.
constexpr std::chrono::milliseconds firstEventDelay{100};
// Answers take longer than their iterations alone, because the prefills of later prompts run inside them.
constexpr double answerStretch = 1.5;
// Least time that work which is not reported complete is expected to last.
constexpr std::chrono::milliseconds overdueTime{40};

}

Duration answerTime(const EngineSpec &spec, std::uint64_t outputTokens, Duration iteration)
{
    return iteration * static_cast<Duration::rep>(outputTokens / std::max(spec.stepsPerIteration, 1U) + 1);
}

EngineForecast::EngineForecast(const EngineSpec &spec, UpstreamLoad &load, TimePoint now)
    : m_load(&load)
    , m_now(now)
    , m_iteration(iterationTime(spec, load.requests(), load.contextTokens()))
    , m_memory(usableMemory(spec))
    , m_slots(std::min(spec.slots, load.entry().slots))
{
    m_tasks.reserve(load.grants().size() + 1);
    for (const auto &[id, grant] : load.grants()) {
        m_tasks.push_back(taskOf(spec, grant));
    }
}

UpstreamLoad &EngineForecast::load() const
{
    return *m_load;
}

void EngineForecast::add(const ForecastTask &task)
{
    m_tasks.push_back(task);
}

bool EngineForecast::accepts(const PlacementRequest &request) const
{
    return m_now >= m_load->acceptsFrom(request.id.host) && (request.excluded.empty() || !request.excluded.contains(m_load->entry().id));
}

TimePoint EngineForecast::availableFrom(Duration partPrefill) const
{
    TimePoint result = m_now;
    for (const ForecastTask &task : m_tasks) {
        result = std::max(result, task.prefillEnd);
        const bool pauses
            = task.answers && task.pauseLimit > Duration::zero() && m_iteration + partPrefill > toDuration(Seconds(task.pauseLimit) * usablePauseShare);
        if (pauses) {
            result = std::max(result, task.end);
        }
    }
    return result;
}

std::uint64_t EngineForecast::freeMemory(TimePoint time) const
{
    std::uint64_t used = 0;
    for (const ForecastTask &task : m_tasks) {
        used += task.end > time ? task.memoryTokens : 0;
    }
    return m_memory - std::min(m_memory, used);
}

bool EngineForecast::hasSlot(TimePoint time) const
{
    const auto used = std::count_if(m_tasks.begin(), m_tasks.end(), [time](const ForecastTask &task) {
        return task.answers && task.end > time;
    });
    return static_cast<std::uint32_t>(used) < m_slots;
}

// Work that lasts longer than predicted ends after overdueTime at the earliest.
ForecastTask EngineForecast::taskOf(const EngineSpec &spec, const GrantLoad &grant) const
{
    ForecastTask task;
    task.answers = !grant.helper;
    task.prefillEnd = grant.prefilling ? std::max<TimePoint>(grant.prefillEnd + firstEventDelay, m_now + overdueTime) : m_now;
    const Duration iteration = grant.helper ? iterationTime(spec, 1, grant.promptTokens) : m_iteration;
    const TimePoint decodeFrom = grant.prefilling ? task.prefillEnd : std::min(grant.prefillEnd, m_now);
    task.end = std::max<TimePoint>(decodeFrom + toDuration(Seconds(answerTime(spec, grant.outputTokens, iteration)) * answerStretch), m_now + overdueTime);
    task.prefillTime = grant.prefilling ? grant.prefillTime : Duration::zero();
    task.pauseLimit = grant.pauseLimit;
    task.memoryTokens = grant.memoryTokens;
    return task;
}

}
