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

std::uint64_t toTokens(std::size_t bytes)
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
    if (request.holdAs.empty()) {
        request.promptTokens = toTokens(request.prompt.size());
    }
    request.priority = std::clamp(request.priority, 0, maxPriority);
    const std::uint64_t allTokens = request.promptTokens + (request.holdAs.empty() ? request.maxTokens : 0);
    created->heldTokens = allTokens - std::min(request.remoteTokens, request.promptTokens);
    if (created->heldTokens > m_options.memoryTokens) {
        ++m_counts.refused;
        return Admission::NeverFits;
    }
    created->promptHash = hash64(request.prompt);
    created->blocks = blockHashes(request.prompt);
    created->produced = request.firstToken;
    created->sent = request.firstToken;
    created->prefillLeft = static_cast<double>(request.promptTokens + request.firstToken);
    created->request = std::move(request);
    m_attempts[created->request.attempt] = created;
    m_waiting.push_back(created);
    m_counts.maxConcurrent = std::max(m_counts.maxConcurrent, concurrent());
    if (cold()) {
        m_counts.maxCold = std::max(m_counts.maxCold, concurrent());
        m_counts.maxColdPrefillTokens = std::max(m_counts.maxColdPrefillTokens, prefillTokensInFlight());
    }
    if (overloadsColdEngine()) {
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
    ++held.connection;
    held.attached = true;
    held.sent = fromToken;
    wake(held);
    return found->second;
}

void EngineModel::detach(const AttemptPointer &attempt, std::uint64_t connection, TimePoint now)
{
    if (attempt->connection == connection) {
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
    m_heldTokens = 0;
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
    if (m_heldTokens + tokens > m_options.memoryTokens) {
        return false;
    }
    m_blocks[id] = tokens;
    m_heldTokens += tokens;
    m_cache.shrinkTo(m_options.memoryTokens - m_heldTokens, now);
    return true;
}

bool EngineModel::deleteBlock(const std::string &id)
{
    const auto found = m_blocks.find(id);
    if (found == m_blocks.end()) {
        return false;
    }
    m_heldTokens -= found->second;
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
    return {m_epoch, std::max(Duration(0), Duration(now - m_startedAt)), m_running.size(), m_waiting.size(), m_heldTokens, prefillTokensInFlight()};
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

std::uint64_t EngineModel::heldTokens() const
{
    return m_heldTokens;
}

PrefixCache &EngineModel::cache()
{
    return m_cache;
}

std::size_t EngineModel::concurrent() const
{
    return m_waiting.size() + m_running.size();
}

std::uint64_t EngineModel::prefillTokensInFlight() const
{
    double tokens = 0;
    for (const auto *list : {&m_waiting, &m_running}) {
        for (const AttemptPointer &attempt : *list) {
            tokens += attempt->prefillLeft;
        }
    }
    return static_cast<std::uint64_t>(tokens);
}

bool EngineModel::overloadsColdEngine() const
{
    if (!cold() || concurrent() <= 1) {
        return false;
    }
    const bool tooManyTokens = m_options.coldPrefillTokens > 0 && prefillTokensInFlight() > m_options.coldPrefillTokens + m_prefilledSinceCold;
    return tooManyTokens || concurrent() > m_options.coldRequests + m_finishedSinceCold;
}

void EngineModel::startWaiting(TimePoint now)
{
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [](const AttemptPointer &left, const AttemptPointer &right) {
        return left->request.priority > right->request.priority;
    });
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const AttemptPointer next = m_waiting.front();
        if (m_heldTokens + next->heldTokens > m_options.memoryTokens) {
            return;
        }
        m_waiting.erase(m_waiting.begin());
        m_running.push_back(next);
        ++m_counts.run;
        ++m_counts.runByPrompt[next->promptHash];
        m_heldTokens += next->heldTokens;
        m_cache.shrinkTo(m_options.memoryTokens - m_heldTokens, now);
        next->state = AttemptState::Prefilling;
        // At least one token is always computed, as the first answer token needs the last prompt token's output.
        const std::uint64_t matched = m_cache.match(next->blocks) * blockTokens;
        next->cachedTokens = std::min(matched, next->request.promptTokens - std::min<std::uint64_t>(1, next->request.promptTokens));
        next->prefillLeft -= static_cast<double>(next->cachedTokens);
        if (m_options.poison && next->request.prompt.find(poisonText) != std::string::npos) {
            crash(now);
            return;
        }
    }
}

void EngineModel::prefill(double seconds, TimePoint now)
{
    double budget = m_options.prefillRate * seconds;
    // Each round hands the budget out by weight; attempts that need less than their share leave the rest to the next round.
    while (budget > 0) {
        double weights = 0;
        for (const AttemptPointer &attempt : m_running) {
            weights += attempt->state == AttemptState::Prefilling ? std::exp2(attempt->request.priority) : 0;
        }
        if (weights == 0) {
            return;
        }
        double left = 0;
        bool someFinished = false;
        for (const AttemptPointer &attempt : m_running) {
            if (attempt->state != AttemptState::Prefilling) {
                continue;
            }
            const double share = budget * std::exp2(attempt->request.priority) / weights;
            left += std::max(0.0, share - attempt->prefillLeft);
            attempt->prefillLeft = std::max(0.0, attempt->prefillLeft - share);
            if (attempt->prefillLeft == 0) {
                finishPrefill(*attempt, now);
                someFinished = true;
            }
        }
        budget = someFinished ? left : 0;
    }
}

void EngineModel::finishPrefill(EngineAttempt &attempt, TimePoint now)
{
    m_prefilledSinceCold += attempt.request.promptTokens;
    m_cache.store(attempt.blocks, now);
    m_cache.shrinkTo(m_options.memoryTokens - m_heldTokens, now);
    attempt.state = AttemptState::Decoding;
    // The end of the prefill yields the first token.
    attempt.decodeCredit = 1;
    if (!attempt.request.holdAs.empty()) {
        end(attempt, AttemptState::Finished, now);
        importBlock(attempt.request.holdAs, attempt.request.promptTokens, now);
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
        // Time spent behind a slow reader is not made up for later.
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
        m_heldTokens -= attempt.heldTokens;
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
        if (released && attempt->detachedAt + m_options.holdTime <= now) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        cancel(id, now);
    }
}

}
