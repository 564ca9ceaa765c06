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

void PassEngine::help(AttemptNumber attempt, const EngineTask &task)
{
    m_helperMemory[attempt] = task.memoryTokens;
    m_reads.push_front(makeRead(attempt, task));
}

void PassEngine::startWriting(AttemptNumber attempt)
{
    const auto answer = m_answers.find(attempt);
    if (answer != m_answers.end()) {
        answer->second.writing = true;
    }
}

void PassEngine::remove(AttemptNumber attempt)
{
    m_answers.erase(attempt);
    m_helperMemory.erase(attempt);
    std::erase_if(m_queue, [attempt](const auto &queued) {
        return queued.first == attempt;
    });
    std::erase_if(m_reads, [attempt](const Read &read) {
        return read.attempt == attempt;
    });
    admitQueued();
}

void PassEngine::clear()
{
    m_answers.clear();
    m_helperMemory.clear();
    m_queue.clear();
    m_reads.clear();
    m_writers.clear();
    m_inPass = false;
}

std::optional<Duration> PassEngine::startPass()
{
    if (m_inPass) {
        return std::nullopt;
    }
    m_writers.clear();
    std::uint64_t contextTokens = 0;
    for (const auto &[attempt, answer] : m_answers) {
        if (answer.writing) {
            m_writers.push_back(attempt);
            contextTokens += answer.task.promptTokens;
        }
    }
    if (m_writers.empty() && m_reads.empty()) {
        return std::nullopt;
    }
    m_inPass = true;
    if (m_writers.empty()) {
        return toDuration(Milliseconds(m_spec.stepMs)) + readTokens(m_spec.chunkTokens);
    }
    const Duration writing = iterationTime(m_spec, static_cast<std::uint32_t>(m_writers.size()), contextTokens);
    return writing + readTokens(std::uint64_t{m_spec.chunkTokens} * m_spec.stepsPerIteration);
}

PassResult PassEngine::finishPass()
{
    PassResult result;
    m_inPass = false;
    for (const Read &read : m_reads) {
        if (read.tokensLeft == 0) {
            result.partsRead.push_back(read.attempt);
        }
    }
    std::erase_if(m_reads, [](const Read &read) {
        return read.tokensLeft == 0;
    });
    for (const AttemptNumber attempt : m_writers) {
        if (m_answers.contains(attempt)) {
            result.pieces.push_back(attempt);
        }
    }
    return result;
}

bool PassEngine::fits(const EngineTask &task) const
{
    std::uint64_t used = 0;
    for (const auto &[attempt, answer] : m_answers) {
        used += answer.task.memoryTokens;
    }
    for (const auto &[attempt, tokens] : m_helperMemory) {
        used += tokens;
    }
    return m_answers.size() < m_spec.slots && used + task.memoryTokens <= m_spec.memoryTokens;
}

void PassEngine::admit(AttemptNumber attempt, const EngineTask &task)
{
    m_answers[attempt] = Answer{task, false};
    m_reads.push_back(makeRead(attempt, task));
}

void PassEngine::admitQueued()
{
    while (!m_queue.empty() && fits(m_queue.front().second)) {
        const auto [attempt, task] = m_queue.front();
        m_queue.pop_front();
        admit(attempt, task);
    }
}

PassEngine::Read PassEngine::makeRead(AttemptNumber attempt, const EngineTask &task) const
{
    const std::uint64_t tokens = std::max<std::uint64_t>(task.promptTokens / std::max(task.parts, 1U), 1);
    const Duration whole = Placement::prefillTime(m_spec, task.promptTokens, task.parts);
    return {attempt, tokens, whole / static_cast<Duration::rep>(tokens)};
}

Duration PassEngine::readTokens(std::uint64_t tokens)
{
    Duration time{};
    for (Read &read : m_reads) {
        const std::uint64_t taken = std::min(tokens, read.tokensLeft);
        read.tokensLeft -= taken;
        tokens -= taken;
        time += read.perToken * static_cast<Duration::rep>(taken);
    }
    return time;
}

}
