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

// One way between hosts, engines and callers.
constexpr std::chrono::milliseconds networkDelay{1};
constexpr std::chrono::milliseconds callerDelay{3};
// Work that depends on a dead helper is cut off after this time.
constexpr std::chrono::milliseconds helperStall{1500};
constexpr std::uint32_t mostRuns = 2;
constexpr std::uint32_t mostRefusals = 2; // Callers come back once.
constexpr Duration::rep honouredPart = 3; // Callers wait for at most a third of the time that they have left.
constexpr std::chrono::seconds longestDrain{20};

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
        carryOut(actions);
    })
{
}

std::vector<PromptRequest> FleetSimulation::run()
{
    publishUpstreams();
    for (std::size_t request = 0; request < m_requests.size(); ++request) {
        m_events.at(TimePoint(m_requests[request].arrival), [this, request] {
            arrive(request);
        });
    }
    for (const EngineLoss &loss : m_scenario.losses) {
        m_events.at(TimePoint(loss.start), [this, &loss] {
            lose(loss);
        });
    }
    m_events.runUntil(TimePoint(m_scenario.length + longestDrain));
    return m_requests;
}

void FleetSimulation::arrive(std::size_t request)
{
    submit(request, 0, {});
}

void FleetSimulation::submit(std::size_t request, std::uint32_t runs, std::unordered_set<UpstreamId> excluded)
{
    const PromptRequest &from = m_requests[request];
    const PromptKind &kind = m_scenario.kinds[from.kind];
    const AttemptNumber number = ++m_lastAttempt;
    Attempt &attempt = m_attempts[number];
    attempt.request = request;
    attempt.runs = runs;
    Placement::PlacementRequest &placementRequest = attempt.placementRequest;
    placementRequest.id = {HostId("host"), number};
    placementRequest.service = PlacementModel::service();
    placementRequest.dataCentre = DataCentreId(dataCentreName(from.host % m_scenario.dataCentres));
    placementRequest.promptTokens = from.promptTokens;
    placementRequest.outputTokens = from.outputTokens;
    placementRequest.target = kind.target;
    placementRequest.pauseLimit = kind.pauseLimit;
    placementRequest.arrivedAt = m_events.now();
    placementRequest.deadline = TimePoint(from.arrival) + kind.deadline;
    placementRequest.fingerprint = request + 1;
    placementRequest.excluded = std::move(excluded);
    m_events.at(placementRequest.deadline, [this, number] {
        if (const auto late = m_attempts.find(number); late != m_attempts.end()) {
            m_requests[late->second.request].held += m_events.now() - late->second.placementRequest.arrivedAt;
            end(late, GrantOutcome::Cancelled);
        }
    });
    const Placement::PlacementRequest submitted = placementRequest;
    m_placement.submit(submitted, from.host);
}

void FleetSimulation::carryOut(const Placement::PlacementActions &actions)
{
    for (const Placement::PlacementAction &action : actions) {
        if (const auto *grant = std::get_if<Placement::Grant>(&action)) {
            granted(*grant);
        } else {
            refused(std::get<Placement::Refusal>(action));
        }
    }
}

void FleetSimulation::granted(const Placement::Grant &grant)
{
    const AttemptNumber number = grant.id.number;
    const auto attempt = m_attempts.find(number);
    if (attempt == m_attempts.end()) {
        return;
    }
    PromptRequest &request = m_requests[attempt->second.request];
    request.offered = request.offered || m_events.now() <= TimePoint(request.arrival) + attempt->second.placementRequest.target;
    m_placement.granted(attempt->second.placementRequest, grant.assignment, request.host);
    m_events.after(2 * networkDelay, [this, number, assignment = grant.assignment] {
        start(number, assignment);
    });
}

void FleetSimulation::refused(const Placement::Refusal &refusal)
{
    const auto attempt = m_attempts.find(refusal.id.number);
    if (attempt == m_attempts.end()) {
        return;
    }
    const std::size_t index = attempt->second.request;
    const Duration left = attempt->second.placementRequest.deadline - m_events.now();
    PromptRequest &request = m_requests[index];
    request.held += m_events.now() - attempt->second.placementRequest.arrivedAt;
    m_attempts.erase(attempt);
    if (++request.refusals >= mostRefusals) {
        return;
    }
    m_events.after(std::min(refusal.retryAfter, left / honouredPart), [this, index] {
        submit(index, 0, {});
    });
}

void FleetSimulation::start(AttemptNumber number, const Placement::Assignment &assignment)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    std::vector<UpstreamId> ids{assignment.upstream};
    ids.insert(ids.end(), assignment.helpers.begin(), assignment.helpers.end());
    for (const UpstreamId &id : ids) {
        attempt.engines.push_back(engineOf(id));
    }
    const bool reached = std::all_of(attempt.engines.begin(), attempt.engines.end(), [this](std::size_t engine) {
        return engine < m_engines.size() && m_engines[engine].alive;
    });
    if (!reached) {
        attempt.engines.clear();
        attempt.placementRequest.excluded.insert(assignment.upstream);
        retry(number, GrantOutcome::Unreachable);
        return;
    }
    const auto parts = static_cast<std::uint32_t>(attempt.engines.size());
    attempt.partsLeft = parts;
    attempt.piecesLeft = attempt.placementRequest.outputTokens / tokensPerPiece() + 1;
    const std::uint64_t elsewhere = std::accumulate(assignment.helperMemory.begin(), assignment.helperMemory.end(), std::uint64_t{0});
    const std::uint64_t tokens = attempt.placementRequest.promptTokens + attempt.placementRequest.outputTokens - elsewhere;
    m_engines[attempt.engines.front()].passes.submit(number, {attempt.placementRequest.promptTokens, parts, tokens});
    for (std::size_t index = 1; index < attempt.engines.size(); ++index) {
        const std::uint64_t stored = assignment.helperMemory.empty() ? 0 : assignment.helperMemory[index - 1];
        m_engines[attempt.engines[index]].passes.help(number, {attempt.placementRequest.promptTokens, parts, stored});
    }
    for (const std::size_t engine : std::vector<std::size_t>(attempt.engines)) {
        startPass(engine);
    }
}

void FleetSimulation::startPass(std::size_t engine)
{
    const std::optional<Duration> length = m_engines[engine].passes.startPass();
    if (!length) {
        return;
    }
    m_events.after(*length, [this, engine, start = m_engines[engine].start] {
        if (m_engines[engine].start == start && m_engines[engine].alive) {
            finishPass(engine);
        }
    });
}

void FleetSimulation::finishPass(std::size_t engine)
{
    const PassResult result = m_engines[engine].passes.finishPass();
    for (const AttemptNumber number : result.partsRead) {
        partRead(number, engine);
    }
    for (const AttemptNumber number : result.pieces) {
        pieceWritten(number);
    }
    startPass(engine);
}

// The pass that ends the last part also yields the first piece if it is one of the engine that answers.
void FleetSimulation::partRead(AttemptNumber number, std::size_t engine)
{
    const auto attempt = m_attempts.find(number);
    if (attempt == m_attempts.end() || --attempt->second.partsLeft > 0) {
        return;
    }
    const std::size_t answering = attempt->second.engines.front();
    m_engines[answering].passes.startWriting(number);
    if (engine == answering) {
        pieceWritten(number);
    } else {
        startPass(answering);
    }
}

void FleetSimulation::pieceWritten(AttemptNumber number)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    PromptRequest &request = m_requests[attempt.request];
    const TimePoint seen = m_events.now() + networkDelay + callerDelay;
    if (attempt.answering) {
        attempt.longestPause = std::max(attempt.longestPause, Duration(seen - attempt.lastPiece));
    } else {
        attempt.answering = true;
        attempt.firstEventReceived = seen - TimePoint(request.arrival);
        m_placement.firstEventReceived(attempt.placementRequest.id, request.host);
    }
    attempt.lastPiece = seen;
    if (--attempt.piecesLeft > 0) {
        return;
    }
    request.completed = true;
    request.firstEventReceived = attempt.firstEventReceived;
    request.longestPause = attempt.longestPause;
    end(found, GrantOutcome::Completed);
}

void FleetSimulation::end(Attempts::iterator attempt, GrantOutcome outcome)
{
    const AttemptNumber number = attempt->first;
    const Attempt ended = std::move(attempt->second);
    m_attempts.erase(attempt);
    for (const std::size_t engine : ended.engines) {
        m_engines[engine].passes.remove(number);
    }
    m_placement.ended(ended.placementRequest.id, outcome, m_requests[ended.request].host);
    for (const std::size_t engine : ended.engines) {
        if (m_engines[engine].alive) {
            startPass(engine);
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
    const std::uint32_t runs = attempt->second.runs + (outcome == GrantOutcome::Unreachable ? 0 : 1);
    std::unordered_set<UpstreamId> excluded = attempt->second.placementRequest.excluded;
    const bool inTime = attempt->second.placementRequest.deadline > m_events.now();
    end(attempt, outcome);
    if (runs < mostRuns && inTime) {
        submit(request, runs, std::move(excluded));
    }
}

void FleetSimulation::lose(const EngineLoss &loss)
{
    std::vector<std::size_t> lost;
    for (std::size_t engine = loss.dataCentre; engine < m_engines.size() && lost.size() < loss.engines; engine += m_scenario.dataCentres) {
        loseEngine(engine);
        lost.push_back(engine);
    }
    m_events.after(loss.length, [this, lost] {
        for (const std::size_t engine : lost) {
            restartEngine(engine);
        }
        publishUpstreams();
    });
}

void FleetSimulation::loseEngine(std::size_t engine)
{
    m_engines[engine].alive = false;
    m_engines[engine].passes.clear();
    std::vector<AttemptNumber> own;
    std::vector<AttemptNumber> helped;
    for (const auto &[number, attempt] : m_attempts) {
        const auto position = std::find(attempt.engines.begin(), attempt.engines.end(), engine);
        if (position == attempt.engines.begin() && position != attempt.engines.end()) {
            own.push_back(number);
        } else if (position != attempt.engines.end() && !attempt.answering) {
            helped.push_back(number);
        }
    }
    for (const AttemptNumber number : own) {
        retry(number, GrantOutcome::Broken);
    }
    m_events.after(helperStall, [this, helped] {
        for (const AttemptNumber number : helped) {
            retry(number, GrantOutcome::Broken);
        }
    });
}

void FleetSimulation::restartEngine(std::size_t engine)
{
    m_engines[engine].alive = true;
    ++m_engines[engine].start;
    m_engines[engine].coldUntil = m_events.now() + m_scenario.coldTime;
}

void FleetSimulation::publishUpstreams()
{
    std::vector<Placement::UpstreamEntry> entries;
    entries.reserve(m_engines.size());
    m_engineById.clear();
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        Placement::UpstreamEntry entry;
        entry.id = UpstreamId("engine" + std::to_string(index) + "-" + std::to_string(m_engines[index].start));
        entry.service = PlacementModel::service();
        entry.dataCentre = DataCentreId(dataCentreName(index % m_scenario.dataCentres));
        entry.slots = m_scenario.engine.slots;
        entry.coldUntil = m_engines[index].coldUntil;
        entry.startedAt = m_engines[index].start;
        m_engineById[entry.id] = index;
        entries.push_back(entry);
    }
    m_placement.setUpstreams(entries);
}

std::size_t FleetSimulation::engineOf(const UpstreamId &id) const
{
    const auto position = m_engineById.find(id);
    return position == m_engineById.end() ? m_engines.size() : position->second;
}

std::uint64_t FleetSimulation::tokensPerPiece() const
{
    return m_scenario.engine.stepsPerIteration;
}

}
