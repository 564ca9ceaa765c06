#include "Experiment/FleetSimulation.h"

#include "Experiment/Policy.h"
#include "Experiment/Scenario.h"
#include "Experiment/Workload.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Mangofall::Experiment {

namespace {

using Placement::GrantOutcome;

// The delays of one way: networkDelay between hosts and engines, callerDelay between hosts and callers.
constexpr std::chrono::milliseconds networkDelay{1};
constexpr std::chrono::milliseconds callerDelay{3};
constexpr std::uint64_t bytesPerToken = 4;
// An attempt that waits for a failed helper is ended after this time.
constexpr std::chrono::milliseconds helperTimeout{1500};
constexpr std::uint32_t maxRuns = 2; // A request whose engine fails is sent again once.
constexpr std::uint32_t maxRefusals = 2; // A caller sends a refused request again once.
constexpr Duration::rep retryAfterDivisor = 3; // Callers wait for at most a third of the time until the deadline.
constexpr std::chrono::seconds drainTime{20}; // A run continues for this time after the last arrivals of the scenario.

std::string dataCentreName(std::size_t index)
{
    return "dc" + std::to_string(index);
}

}

FleetSimulation::FleetSimulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : m_scenario(scenario)
    , m_requests(makeWorkload(scenario, seed))
    , m_engines(scenario.engines, Engine{PassEngine(scenario.engine), true, 0, {}})
    , m_placement(scenario, policy, m_events, [this](const Placement::PlacementActions &actions) {
        applyActions(actions);
    })
{
}

std::vector<PromptRequest> FleetSimulation::run()
{
    publishUpstreams();
    for (std::size_t request = 0; request < m_requests.size(); ++request) {
        m_events.scheduleAt(TimePoint(m_requests[request].arrival), [this, request] {
            handleArrival(request);
        });
    }
    for (const EngineLoss &loss : m_scenario.losses) {
        m_events.scheduleAt(TimePoint(loss.start), [this, &loss] {
            startLoss(loss);
        });
    }
    m_events.runUntil(TimePoint(m_scenario.duration + drainTime));
    return m_requests;
}

void FleetSimulation::handleArrival(std::size_t request)
{
    submit(request, 0, {});
}

void FleetSimulation::submit(std::size_t request, std::uint32_t earlierRuns, std::unordered_set<UpstreamId> excluded)
{
    const PromptRequest &promptRequest = m_requests[request];
    const PromptKind &kind = m_scenario.kinds[promptRequest.kind];
    const AttemptNumber number = ++m_lastAttempt;
    Attempt &attempt = m_attempts[number];
    attempt.request = request;
    attempt.earlierRuns = earlierRuns;
    Placement::PlacementRequest &placementRequest = attempt.placementRequest;
    placementRequest.id = {HostId("host"), number};
    placementRequest.service = PlacementModel::service();
    placementRequest.dataCentre = DataCentreId(dataCentreName(promptRequest.host % m_scenario.dataCentres));
    placementRequest.promptTokens = promptRequest.promptTokens;
    placementRequest.outputTokens = promptRequest.outputTokens;
    placementRequest.requestBytes = promptRequest.promptTokens * bytesPerToken;
    placementRequest.answerBytes = promptRequest.outputTokens * bytesPerToken;
    placementRequest.target = kind.target;
    placementRequest.pauseLimit = kind.pauseLimit;
    placementRequest.arrivedAt = m_events.now();
    placementRequest.deadline = TimePoint(promptRequest.arrival) + kind.deadline;
    placementRequest.fingerprint = request + 1;
    placementRequest.excluded = std::move(excluded);
    m_events.scheduleAt(placementRequest.deadline, [this, number] {
        if (const auto expired = m_attempts.find(number); expired != m_attempts.end()) {
            m_requests[expired->second.request].waitTime += m_events.now() - expired->second.placementRequest.arrivedAt;
            endAttempt(expired, GrantOutcome::Cancelled);
        }
    });
    const Placement::PlacementRequest submitted = placementRequest;
    m_placement.submit(submitted, promptRequest.host);
}

void FleetSimulation::applyActions(const Placement::PlacementActions &actions)
{
    for (const Placement::PlacementAction &action : actions) {
        if (const auto *grant = std::get_if<Placement::Grant>(&action)) {
            handleGrant(*grant);
        } else {
            handleRefusal(std::get<Placement::Refusal>(action));
        }
    }
}

void FleetSimulation::handleGrant(const Placement::Grant &grant)
{
    const AttemptNumber number = grant.id.number;
    const auto attempt = m_attempts.find(number);
    if (attempt == m_attempts.end()) {
        return;
    }
    PromptRequest &request = m_requests[attempt->second.request];
    request.assignedWithinTarget = request.assignedWithinTarget || m_events.now() <= TimePoint(request.arrival) + attempt->second.placementRequest.target;
    m_placement.recordGrant(attempt->second.placementRequest, grant.assignment, request.host);
    m_events.scheduleAfter(2 * networkDelay, [this, number, assignment = grant.assignment] {
        startAttempt(number, assignment);
    });
}

void FleetSimulation::handleRefusal(const Placement::Refusal &refusal)
{
    const auto attempt = m_attempts.find(refusal.id.number);
    if (attempt == m_attempts.end()) {
        return;
    }
    const std::size_t index = attempt->second.request;
    const Duration left = attempt->second.placementRequest.deadline - m_events.now();
    PromptRequest &request = m_requests[index];
    request.waitTime += m_events.now() - attempt->second.placementRequest.arrivedAt;
    m_attempts.erase(attempt);
    if (++request.refusals >= maxRefusals) {
        return;
    }
    m_events.scheduleAfter(std::min(refusal.retryAfter, left / retryAfterDivisor), [this, index] {
        submit(index, 0, {});
    });
}

bool FleetSimulation::helpersHaveMemory(const Placement::Assignment &assignment) const
{
    for (std::size_t index = 0; index < assignment.helperMemory.size(); ++index) {
        if (!m_engines[engineIndex(assignment.helpers[index])].simulatedEngine.hasMemory(assignment.helperMemory[index])) {
            return false;
        }
    }
    return true;
}

void FleetSimulation::startAttempt(AttemptNumber number, const Placement::Assignment &assignment)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    std::vector<UpstreamId> ids{assignment.upstream};
    ids.insert(ids.end(), assignment.helpers.begin(), assignment.helpers.end());
    for (const UpstreamId &id : ids) {
        attempt.engines.push_back(engineIndex(id));
    }
    const bool allAlive = std::all_of(attempt.engines.begin(), attempt.engines.end(), [this](std::size_t engine) {
        return engine < m_engines.size() && m_engines[engine].alive;
    });
    if (!allAlive) {
        attempt.engines.clear();
        attempt.placementRequest.excluded.insert(assignment.upstream);
        retry(number, GrantOutcome::Unreachable);
        return;
    }
    if (!helpersHaveMemory(assignment)) {
        attempt.engines.clear();
        retry(number, GrantOutcome::Cancelled);
        return;
    }
    const auto parts = static_cast<std::uint32_t>(attempt.engines.size());
    attempt.remainingParts = parts;
    attempt.remainingEvents = attempt.placementRequest.outputTokens / tokensPerEvent() + 1;
    const std::uint64_t helperTokens = std::accumulate(assignment.helperMemory.begin(), assignment.helperMemory.end(), std::uint64_t{0});
    const std::uint64_t tokens = attempt.placementRequest.promptTokens + attempt.placementRequest.outputTokens - helperTokens;
    m_engines[attempt.engines.front()].simulatedEngine.submit(number, {attempt.placementRequest.promptTokens, parts, tokens});
    for (std::size_t index = 1; index < attempt.engines.size(); ++index) {
        const std::uint64_t helperMemoryTokens = assignment.helperMemory.empty() ? 0 : assignment.helperMemory[index - 1];
        m_engines[attempt.engines[index]].simulatedEngine.submitHelperPart(number, {attempt.placementRequest.promptTokens, parts, helperMemoryTokens});
    }
    for (const std::size_t engine : std::vector<std::size_t>(attempt.engines)) {
        startIteration(engine);
    }
}

void FleetSimulation::startIteration(std::size_t engine)
{
    const std::optional<Duration> duration = m_engines[engine].simulatedEngine.startIteration();
    if (!duration) {
        return;
    }
    m_events.scheduleAfter(*duration, [this, engine, restartCount = m_engines[engine].restartCount] {
        if (m_engines[engine].restartCount == restartCount && m_engines[engine].alive) {
            finishIteration(engine);
        }
    });
}

void FleetSimulation::finishIteration(std::size_t engine)
{
    const IterationResult result = m_engines[engine].simulatedEngine.finishIteration();
    for (const AttemptNumber number : result.prefilledParts) {
        handlePrefilledPart(number, engine);
    }
    for (const AttemptNumber number : result.decodedAttempts) {
        handleEvent(number);
    }
    startIteration(engine);
}

// The iteration that completes the last part also yields the first event if it runs on the engine that answers.
void FleetSimulation::handlePrefilledPart(AttemptNumber number, std::size_t engine)
{
    const auto attempt = m_attempts.find(number);
    if (attempt == m_attempts.end() || --attempt->second.remainingParts > 0) {
        return;
    }
    const std::size_t answeringEngine = attempt->second.engines.front();
    m_engines[answeringEngine].simulatedEngine.startDecoding(number);
    if (engine == answeringEngine) {
        handleEvent(number);
    } else {
        startIteration(answeringEngine);
    }
}

void FleetSimulation::handleEvent(AttemptNumber number)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    PromptRequest &request = m_requests[attempt.request];
    const TimePoint receivedAt = m_events.now() + networkDelay + callerDelay;
    if (attempt.answerStarted) {
        attempt.longestPause = std::max(attempt.longestPause, Duration(receivedAt - attempt.lastEventAt));
    } else {
        attempt.answerStarted = true;
        attempt.firstEventDelay = receivedAt - TimePoint(request.arrival);
        m_placement.recordFirstEvent(attempt.placementRequest.id, request.host);
    }
    attempt.lastEventAt = receivedAt;
    if (--attempt.remainingEvents > 0) {
        return;
    }
    request.completed = true;
    request.firstEventDelay = attempt.firstEventDelay;
    request.longestPause = attempt.longestPause;
    endAttempt(found, GrantOutcome::Completed);
}

void FleetSimulation::endAttempt(Attempts::iterator attempt, GrantOutcome outcome)
{
    const AttemptNumber number = attempt->first;
    const Attempt ended = std::move(attempt->second);
    m_attempts.erase(attempt);
    for (const std::size_t engine : ended.engines) {
        m_engines[engine].simulatedEngine.remove(number);
    }
    m_placement.recordEnd(ended.placementRequest.id, outcome, m_requests[ended.request].host);
    for (const std::size_t engine : ended.engines) {
        if (m_engines[engine].alive) {
            startIteration(engine);
        }
    }
}

void FleetSimulation::retry(AttemptNumber number, GrantOutcome outcome)
{
    const auto attempt = m_attempts.find(number);
    if (attempt == m_attempts.end()) {
        return;
    }
    const std::size_t request = attempt->second.request;
    const bool reachedEngines = outcome != GrantOutcome::Unreachable && outcome != GrantOutcome::Cancelled;
    const std::uint32_t earlierRuns = attempt->second.earlierRuns + (reachedEngines ? 1 : 0);
    std::unordered_set<UpstreamId> excluded = attempt->second.placementRequest.excluded;
    const bool beforeDeadline = attempt->second.placementRequest.deadline > m_events.now();
    endAttempt(attempt, outcome);
    if (earlierRuns < maxRuns && beforeDeadline) {
        submit(request, earlierRuns, std::move(excluded));
    }
}

void FleetSimulation::startLoss(const EngineLoss &loss)
{
    std::vector<std::size_t> failedEngines;
    for (std::size_t engine = loss.dataCentre; engine < m_engines.size() && failedEngines.size() < loss.engines; engine += m_scenario.dataCentres) {
        failEngine(engine);
        failedEngines.push_back(engine);
    }
    m_events.scheduleAfter(loss.duration, [this, failedEngines] {
        for (const std::size_t engine : failedEngines) {
            restartEngine(engine);
        }
        publishUpstreams();
    });
}

void FleetSimulation::failEngine(std::size_t engine)
{
    m_engines[engine].alive = false;
    m_engines[engine].simulatedEngine.clear();
    std::vector<AttemptNumber> answeredHere;
    std::vector<AttemptNumber> helpedHere;
    for (const auto &[number, attempt] : m_attempts) {
        const auto position = std::find(attempt.engines.begin(), attempt.engines.end(), engine);
        if (position == attempt.engines.begin() && position != attempt.engines.end()) {
            answeredHere.push_back(number);
        } else if (position != attempt.engines.end() && !attempt.answerStarted) {
            helpedHere.push_back(number);
        }
    }
    for (const AttemptNumber number : answeredHere) {
        retry(number, GrantOutcome::Broken);
    }
    m_events.scheduleAfter(helperTimeout, [this, helpedHere] {
        for (const AttemptNumber number : helpedHere) {
            retry(number, GrantOutcome::Broken);
        }
    });
}

void FleetSimulation::restartEngine(std::size_t engine)
{
    m_engines[engine].alive = true;
    ++m_engines[engine].restartCount;
    m_engines[engine].coldUntil = m_events.now() + m_scenario.coldTime;
}

void FleetSimulation::publishUpstreams()
{
    std::vector<Placement::UpstreamEntry> entries;
    entries.reserve(m_engines.size());
    m_engineById.clear();
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        Placement::UpstreamEntry entry;
        entry.id = UpstreamId("engine" + std::to_string(index) + "-" + std::to_string(m_engines[index].restartCount));
        entry.service = PlacementModel::service();
        entry.dataCentre = DataCentreId(dataCentreName(index % m_scenario.dataCentres));
        entry.slots = m_scenario.engine.slots;
        entry.coldUntil = m_engines[index].coldUntil;
        entry.startedAt = m_engines[index].restartCount;
        m_engineById[entry.id] = index;
        entries.push_back(entry);
    }
    m_placement.setUpstreams(entries);
}

std::size_t FleetSimulation::engineIndex(const UpstreamId &id) const
{
    const auto position = m_engineById.find(id);
    return position == m_engineById.end() ? m_engines.size() : position->second;
}

std::uint64_t FleetSimulation::tokensPerEvent() const
{
    return m_scenario.engine.stepsPerIteration;
}

}
