#include "Experiment/PassEngine.h"

#include "Placement/EngineCost.h"

#include <algorithm>

namespace Mangofall::Experiment {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

}

PassEngine::PassEngine(const Placement::EngineSpec &spec)
    : m_spec(spec)
{
}

void PassEngine::submit(AttemptNumber attempt, const EngineTask &task)
{
    if (m_queue.empty() && fits(task)) {
        admit(attempt, task);
    } else {
        m_queue.emplace_back(attempt, task);
    }
}

void PassEngine::submitHelperPart(AttemptNumber attempt, const EngineTask &task)
{
    m_helperMemory[attempt] = task.memoryTokens;
    m_prefills.push_front(makePrefill(attempt, task));
}

void PassEngine::startDecoding(AttemptNumber attempt)
{
    const auto running = m_running.find(attempt);
    if (running != m_running.end()) {
        running->second.decoding = true;
    }
}

void PassEngine::remove(AttemptNumber attempt)
{
    m_running.erase(attempt);
    m_helperMemory.erase(attempt);
    std::erase_if(m_queue, [attempt](const auto &queued) {
        return queued.first == attempt;
    });
    std::erase_if(m_prefills, [attempt](const Prefill &prefill) {
        return prefill.attempt == attempt;
    });
    admitQueued();
}

void PassEngine::clear()
{
    m_running.clear();
    m_helperMemory.clear();
    m_queue.clear();
    m_prefills.clear();
    m_decodingAttempts.clear();
    m_iterationRunning = false;
}

std::optional<Duration> PassEngine::startIteration()
{
    if (m_iterationRunning) {
        return std::nullopt;
    }
    m_decodingAttempts.clear();
    std::uint64_t contextTokens = 0;
    for (const auto &[attempt, running] : m_running) {
        if (running.decoding) {
            m_decodingAttempts.push_back(attempt);
            contextTokens += running.task.promptTokens;
        }
    }
    if (m_decodingAttempts.empty() && m_prefills.empty()) {
        return std::nullopt;
    }
    m_iterationRunning = true;
    if (m_decodingAttempts.empty()) {
        return toDuration(Milliseconds(m_spec.stepMs)) + advancePrefills(m_spec.chunkTokens);
    }
    const Duration decodeTime = iterationTime(m_spec, static_cast<std::uint32_t>(m_decodingAttempts.size()), contextTokens);
    return decodeTime + advancePrefills(std::uint64_t{m_spec.chunkTokens} * m_spec.stepsPerIteration);
}

IterationResult PassEngine::finishIteration()
{
    IterationResult result;
    m_iterationRunning = false;
    for (const Prefill &prefill : m_prefills) {
        if (prefill.remainingTokens == 0) {
            result.prefilledParts.push_back(prefill.attempt);
        }
    }
    std::erase_if(m_prefills, [](const Prefill &prefill) {
        return prefill.remainingTokens == 0;
    });
    for (const AttemptNumber attempt : m_decodingAttempts) {
        if (m_running.contains(attempt)) {
            result.decodedAttempts.push_back(attempt);
        }
    }
    return result;
}

bool PassEngine::hasMemory(std::uint64_t tokens) const
{
    return usedMemory() + tokens <= m_spec.memoryTokens;
}

bool PassEngine::fits(const EngineTask &task) const
{
    return m_running.size() < m_spec.slots && hasMemory(task.memoryTokens);
}

std::uint64_t PassEngine::usedMemory() const
{
    std::uint64_t usedTokens = 0;
    for (const auto &[attempt, running] : m_running) {
        usedTokens += running.task.memoryTokens;
    }
    for (const auto &[attempt, tokens] : m_helperMemory) {
        usedTokens += tokens;
    }
    return usedTokens;
}

void PassEngine::admit(AttemptNumber attempt, const EngineTask &task)
{
    m_running[attempt] = RunningAttempt{task, false};
    m_prefills.push_back(makePrefill(attempt, task));
}

void PassEngine::admitQueued()
{
    while (!m_queue.empty() && fits(m_queue.front().second)) {
        const auto [attempt, task] = m_queue.front();
        m_queue.pop_front();
        admit(attempt, task);
    }
}

PassEngine::Prefill PassEngine::makePrefill(AttemptNumber attempt, const EngineTask &task) const
{
    const std::uint64_t tokens = std::max<std::uint64_t>(task.promptTokens / std::max(task.parts, 1U), 1);
    const Duration partTime = Placement::prefillTime(m_spec, task.promptTokens, task.parts);
    return {attempt, tokens, partTime / static_cast<Duration::rep>(tokens)};
}

Duration PassEngine::advancePrefills(std::uint64_t tokens)
{
    Duration time{};
    for (Prefill &prefill : m_prefills) {
        const std::uint64_t processed = std::min(tokens, prefill.remainingTokens);
        prefill.remainingTokens -= processed;
        tokens -= processed;
        time += prefill.timePerToken * static_cast<Duration::rep>(processed);
    }
    return time;
}

}
