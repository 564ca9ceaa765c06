#pragma once

#include "Experiment/EventQueue.h"
#include "Experiment/PassEngine.h"
#include "Experiment/PlacementModel.h"
#include "Experiment/PromptRequest.h"
#include "Placement/PlacementRequest.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Mangofall::Experiment {

struct EngineLoss;
struct Policy;
struct Scenario;

/**
 * \class FleetSimulation
 * \brief Runs a scenario in virtual time.
 *
 * It simulates the callers and the engines, which take the time of the cost formulas of EngineSpec, and uses the placement tables of the product. Callers
 * send a refused request again once, after the wait that the refusal names, but after at most a third of the time until their deadline. A request whose
 * engine fails is sent once more.
 */
class FleetSimulation
{
public:
    FleetSimulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

    /// Returns the requests with their results.
    std::vector<PromptRequest> run();

private:
    struct Engine {
        PassEngine simulatedEngine;
        bool alive = true;
        std::uint32_t restartCount = 0; ///< Restarts of the engine's process.
        TimePoint coldUntil;
    };
    struct Attempt {
        std::size_t request = 0;
        Placement::PlacementRequest placementRequest;
        std::uint32_t earlierRuns = 0; ///< Earlier attempts of the request, since its last refusal, that reached their engines.
        std::vector<std::size_t> engines; ///< The engine that answers, then the helpers; empty until the attempt is sent.
        std::size_t remainingParts = 0; ///< Parts of the prompt whose prefill is not complete.
        std::uint64_t remainingEvents = 0; ///< Events of the answer that are still to come.
        bool answerStarted = false; ///< The caller got the first event.
        TimePoint lastEventAt; ///< When the caller got the last event.
        Duration firstEventDelay{}; ///< From the arrival of the request until the caller got the first event.
        Duration longestPause{}; ///< Longest time between two events of the answer.
    };
    using Attempts = std::map<AttemptNumber, Attempt>;

    void handleArrival(std::size_t request);
    void submit(std::size_t request, std::uint32_t earlierRuns, std::unordered_set<UpstreamId> excluded);
    void applyActions(const Placement::PlacementActions &actions);
    void handleGrant(const Placement::Grant &grant);
    void handleRefusal(const Placement::Refusal &refusal);
    /// Returns whether each helper has the memory that the assignment wants of it.
    bool helpersHaveMemory(const Placement::Assignment &assignment) const;
    /// Sends the attempt to its engines. If a helper lacks memory, the assignment is given back and the request submitted again.
    void startAttempt(AttemptNumber number, const Placement::Assignment &assignment);
    void startIteration(std::size_t engine);
    void finishIteration(std::size_t engine);
    void handlePrefilledPart(AttemptNumber number, std::size_t engine);
    void handleEvent(AttemptNumber number);
    void endAttempt(Attempts::iterator attempt, Placement::GrantOutcome outcome);
    /// Ends the attempt and sends the request again if its deadline and its number of runs allow it.
    void retry(AttemptNumber number, Placement::GrantOutcome outcome);
    void startLoss(const EngineLoss &loss);
    void failEngine(std::size_t engine);
    void restartEngine(std::size_t engine);
    void publishUpstreams();
    std::size_t engineIndex(const UpstreamId &id) const;
    std::uint64_t tokensPerEvent() const;

    const Scenario &m_scenario;
    EventQueue m_events;
    std::vector<PromptRequest> m_requests;
    std::vector<Engine> m_engines;
    std::map<UpstreamId, std::size_t> m_engineById;
    PlacementModel m_placement;
    Attempts m_attempts;
    AttemptNumber m_lastAttempt = 0;
};

}
