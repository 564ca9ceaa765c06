#include "StandIns/EngineModel.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Mangofall::StandIns {

namespace {

constexpr std::string_view poisonText = "crash-me";
constexpr std::size_t maxReports = 64;
constexpr int maxPriority = 9;

bool isActive(const EngineAttempt &attempt)
{
    return attempt.state == AttemptState::Waiting || attempt.state == AttemptState::Prefilling || attempt.state == AttemptState::Decoding;
}

void wake(const EngineAttempt &attempt)
{
    if (attempt.wake) {
        attempt.wake();
    }
}

std::uint64_t tokenCount(std::size_t bytes)
{
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

}

std::string tokenText(std::uint64_t promptHash, std::uint32_t index)
{
    constexpr std::uint64_t words = 1000;
    return "tok" + std::to_string(index) + "." + std::to_string(rendezvousScore(std::to_string(promptHash), std::to_string(index)) % words) + " ";
}

EngineModel::EngineModel(EngineOptions options, TimePoint now)
    : m_options(options)
    , m_cache(options.eventDelay, options.eventGapShare, options.seed)
    , m_startedAt(now)
    , m_servesFrom(now)
    , m_advancedTo(now)
{
}

Admission EngineModel::submit(EngineRequest request, TimePoint now, AttemptPointer &attempt)
{
    if (m_attempts.contains(request.attempt)) {
        return Admission::Duplicate;
    }
    if (m_waiting.size() >= m_options.queueLimit) {
        ++m_counts.refused;
        return Admission::Refused;
    }
    auto created = std::make_shared<EngineAttempt>();
    if (request.exportBlockId.empty()) {
        request.promptTokens = tokenCount(request.prompt.size());
    }
    request.priority = std::clamp(request.priority, 0, maxPriority);
    const std::uint64_t allTokens = request.promptTokens + (request.exportBlockId.empty() ? request.maxTokens : 0);
    created->reservedTokens = allTokens - std::min(request.remoteTokens, request.promptTokens);
    if (created->reservedTokens > m_options.memoryTokens) {
        ++m_counts.refused;
        return Admission::NeverFits;
    }
    created->promptHash = hash64(request.prompt);
    created->blocks = blockHashes(request.prompt);
    created->produced = request.firstToken;
    created->sent = request.firstToken;
    created->remainingPrefillTokens = static_cast<double>(request.promptTokens + request.firstToken);
    created->request = std::move(request);
    m_attempts[created->request.attempt] = created;
    m_waiting.push_back(created);
    m_counts.maxConcurrent = std::max(m_counts.maxConcurrent, concurrentAttempts());
    if (cold()) {
        m_counts.maxConcurrentCold = std::max(m_counts.maxConcurrentCold, concurrentAttempts());
        m_counts.maxColdPrefillTokens = std::max(m_counts.maxColdPrefillTokens, prefillTokensInFlight());
    }
    if (exceedsColdLimits()) {
        crash(now);
        return Admission::Crashed;
    }
    startWaiting(now);
    if (created->state == AttemptState::Lost) {
        return Admission::Crashed;
    }
    attempt = std::move(created);
    return Admission::Accepted;
}

AttemptPointer EngineModel::resume(const std::string &attempt, std::uint32_t fromToken)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second->state == AttemptState::Cancelled) {
        return nullptr;
    }
    EngineAttempt &held = *found->second;
    if (fromToken < held.request.firstToken || fromToken > held.produced) {
        return nullptr;
    }
    ++m_counts.resumed;
    ++held.connectionGeneration;
    held.attached = true;
    held.sent = fromToken;
    wake(held);
    return found->second;
}

void EngineModel::detach(const AttemptPointer &attempt, std::uint64_t connectionGeneration, TimePoint now)
{
    if (attempt->connectionGeneration == connectionGeneration) {
        attempt->attached = false;
        attempt->detachedAt = now;
    }
}

bool EngineModel::cancel(const std::string &attempt, TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return false;
    }
    const AttemptPointer held = found->second;
    if (isActive(*held)) {
        ++m_counts.cancelled;
        end(*held, AttemptState::Cancelled, now);
        std::erase(m_waiting, held);
        std::erase(m_running, held);
    }
    m_attempts.erase(attempt);
    return true;
}

void EngineModel::advance(TimePoint now)
{
    const double seconds = Seconds(now - m_advancedTo).count();
    m_advancedTo = now;
    if (restarting(now)) {
        return;
    }
    prefill(seconds, now);
    decode(seconds, now);
    std::erase_if(m_running, [](const AttemptPointer &attempt) {
        return !isActive(*attempt);
    });
    startWaiting(now);
    expire(now);
    if (m_reports.empty() || now - m_reports.back().first >= m_options.loadLag / 4) {
        m_reports.emplace_back(now, load(now));
        if (m_reports.size() > maxReports) {
            m_reports.pop_front();
        }
    }
}

void EngineModel::crash(TimePoint now)
{
    const auto lost = std::exchange(m_attempts, {});
    for (const auto &[id, attempt] : lost) {
        if (isActive(*attempt)) {
            end(*attempt, AttemptState::Lost, now);
        }
    }
    m_waiting.clear();
    m_running.clear();
    m_blocks.clear();
    m_cache.clear();
    m_reports.clear();
    m_reservedTokens = 0;
    ++m_counts.crashes;
    ++m_epoch;
    m_startedAt = now + m_options.restartTime;
    m_servesFrom = m_startedAt;
    makeCold();
}

void EngineModel::makeCold()
{
    m_finishedSinceCold = 0;
    m_prefilledSinceCold = 0;
}

bool EngineModel::restarting(TimePoint now) const
{
    return now < m_servesFrom;
}

bool EngineModel::cold() const
{
    return m_options.coldRequests + m_finishedSinceCold < m_options.slots;
}

bool EngineModel::importBlock(const std::string &id, std::uint64_t tokens, TimePoint now)
{
    if (m_blocks.contains(id)) {
        return true;
    }
    if (m_reservedTokens + tokens > m_options.memoryTokens) {
        return false;
    }
    m_blocks[id] = tokens;
    m_reservedTokens += tokens;
    m_cache.shrinkTo(m_options.memoryTokens - m_reservedTokens, now);
    return true;
}

bool EngineModel::deleteBlock(const std::string &id)
{
    const auto found = m_blocks.find(id);
    if (found == m_blocks.end()) {
        return false;
    }
    m_reservedTokens -= found->second;
    m_blocks.erase(found);
    return true;
}

const std::map<std::string, std::uint64_t> &EngineModel::heldBlocks() const
{
    return m_blocks;
}

bool EngineModel::command(const std::string &name, const std::string &argument, std::uint64_t fencingToken)
{
    if (m_options.checksFencing && fencingToken < m_fencingToken) {
        return false;
    }
    m_fencingToken = std::max(m_fencingToken, fencingToken);
    m_commands[name] = argument;
    return true;
}

const std::map<std::string, std::string> &EngineModel::commandState() const
{
    return m_commands;
}

std::uint64_t EngineModel::fencingToken() const
{
    return m_fencingToken;
}

EngineLoad EngineModel::load(TimePoint now) const
{
    return {m_epoch, std::max(Duration(0), Duration(now - m_startedAt)), m_running.size(), m_waiting.size(), m_reservedTokens, prefillTokensInFlight()};
}

EngineLoad EngineModel::laggingLoad(TimePoint now) const
{
    EngineLoad report{m_epoch, Duration(0), 0, 0, 0, 0};
    for (const auto &[takenAt, load] : m_reports) {
        if (takenAt + m_options.loadLag <= now) {
            report = load;
        }
    }
    return report;
}

const EngineCounts &EngineModel::counts() const
{
    return m_counts;
}

std::uint64_t EngineModel::reservedTokens() const
{
    return m_reservedTokens;
}

PrefixCache &EngineModel::cache()
{
    return m_cache;
}

std::size_t EngineModel::concurrentAttempts() const
{
    return m_waiting.size() + m_running.size();
}

std::uint64_t EngineModel::prefillTokensInFlight() const
{
    double tokens = 0;
    for (const auto *list : {&m_waiting, &m_running}) {
        for (const AttemptPointer &attempt : *list) {
            tokens += attempt->remainingPrefillTokens;
        }
    }
    return static_cast<std::uint64_t>(tokens);
}

bool EngineModel::exceedsColdLimits() const
{
    if (!cold() || concurrentAttempts() <= 1) {
        return false;
    }
    const bool tooManyTokens = m_options.coldPrefillTokens > 0 && prefillTokensInFlight() > m_options.coldPrefillTokens + m_prefilledSinceCold;
    return tooManyTokens || concurrentAttempts() > m_options.coldRequests + m_finishedSinceCold;
}

void EngineModel::startWaiting(TimePoint now)
{
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [](const AttemptPointer &left, const AttemptPointer &right) {
        return left->request.priority > right->request.priority;
    });
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const AttemptPointer next = m_waiting.front();
        if (m_reservedTokens + next->reservedTokens > m_options.memoryTokens) {
            return;
        }
        m_waiting.erase(m_waiting.begin());
        m_running.push_back(next);
        ++m_counts.started;
        ++m_counts.startedByPrompt[next->promptHash];
        m_reservedTokens += next->reservedTokens;
        m_cache.shrinkTo(m_options.memoryTokens - m_reservedTokens, now);
        next->state = AttemptState::Prefilling;
        // At least one prompt token is always computed, because the first answer token depends on the output for the last prompt token.
        const std::uint64_t matched = m_cache.match(next->blocks) * blockTokens;
        next->cachedTokens = std::min(matched, next->request.promptTokens - std::min<std::uint64_t>(1, next->request.promptTokens));
        next->remainingPrefillTokens -= static_cast<double>(next->cachedTokens);
        if (m_options.poison && next->request.prompt.find(poisonText) != std::string::npos) {
            crash(now);
            return;
        }
    }
}

void EngineModel::prefill(double seconds, TimePoint now)
{
    double budget = m_options.prefillRate * seconds;
    // Each round divides the budget by weight; what an attempt does not need of its share is divided in the next round.
    while (budget > 0) {
        double totalWeight = 0;
        for (const AttemptPointer &attempt : m_running) {
            totalWeight += attempt->state == AttemptState::Prefilling ? std::exp2(attempt->request.priority) : 0;
        }
        if (totalWeight == 0) {
            return;
        }
        double unusedBudget = 0;
        bool someFinished = false;
        for (const AttemptPointer &attempt : m_running) {
            if (attempt->state != AttemptState::Prefilling) {
                continue;
            }
            const double share = budget * std::exp2(attempt->request.priority) / totalWeight;
            unusedBudget += std::max(0.0, share - attempt->remainingPrefillTokens);
            attempt->remainingPrefillTokens = std::max(0.0, attempt->remainingPrefillTokens - share);
            if (attempt->remainingPrefillTokens == 0) {
                finishPrefill(*attempt, now);
                someFinished = true;
            }
        }
        budget = someFinished ? unusedBudget : 0;
    }
}

void EngineModel::finishPrefill(EngineAttempt &attempt, TimePoint now)
{
    m_prefilledSinceCold += attempt.request.promptTokens;
    m_cache.store(attempt.blocks, now);
    m_cache.shrinkTo(m_options.memoryTokens - m_reservedTokens, now);
    attempt.state = AttemptState::Decoding;
    // The last prefill step generates the first token.
    attempt.decodeCredit = 1;
    if (!attempt.request.exportBlockId.empty()) {
        end(attempt, AttemptState::Finished, now);
        importBlock(attempt.request.exportBlockId, attempt.request.promptTokens, now);
    }
}

void EngineModel::decode(double seconds, TimePoint now)
{
    for (const AttemptPointer &attempt : m_running) {
        if (attempt->state != AttemptState::Decoding) {
            continue;
        }
        const std::uint32_t before = attempt->produced;
        const std::uint32_t limit = std::min(attempt->request.maxTokens, attempt->sent + m_options.sendWindow);
        while (attempt->decodeCredit >= 1 && attempt->produced < limit) {
            attempt->decodeCredit -= 1;
            ++attempt->produced;
        }
        // Generation paused by a slow reader is not caught up later, so the credit carried over is at most one token.
        attempt->decodeCredit = std::min(attempt->decodeCredit, 1.0) + seconds * m_options.decodeRate;
        if (attempt->produced >= attempt->request.maxTokens) {
            end(*attempt, AttemptState::Finished, now);
        } else if (attempt->produced != before) {
            wake(*attempt);
        }
    }
}

void EngineModel::end(EngineAttempt &attempt, AttemptState state, TimePoint now)
{
    if (attempt.state != AttemptState::Waiting) {
        m_reservedTokens -= attempt.reservedTokens;
    }
    attempt.state = state;
    attempt.detachedAt = now;
    if (state == AttemptState::Finished) {
        ++m_counts.finished;
        ++m_finishedSinceCold;
    }
    wake(attempt);
}

void EngineModel::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[id, attempt] : m_attempts) {
        const bool released = !isActive(*attempt) || !attempt->attached;
        if (released && attempt->detachedAt + m_options.retentionTime <= now) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        cancel(id, now);
    }
}

}
