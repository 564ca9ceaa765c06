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
 * \brief Plays a scenario in virtual time: callers, the product's placement tables, and engines that read and write after their cost formulas.
 *
 * Callers come back once after a refusal, as long as they were told to wait; an attempt whose engine dies is sent once more.
 */
class FleetSimulation
{
public:
    FleetSimulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

    /// The requests with what became of them.
    std::vector<PromptRequest> run();

private:
    struct Engine {
        PassEngine passes;
        bool alive = true;
        std::uint32_t start = 0; ///< Counts the starts of the engine's process.
        TimePoint coldUntil;
    };
    struct Attempt {
        std::size_t request = 0;
        Placement::PlacementRequest placementRequest;
        std::uint32_t runs = 0; ///< Runs of the request before this one.
        std::vector<std::size_t> engines; ///< The one that answers, then the helpers; empty while it waits.
        std::size_t partsLeft = 0;
        std::uint64_t piecesLeft = 0;
        bool answering = false; ///< The first piece came.
        TimePoint lastPiece;
        Duration firstEventReceived{};
        Duration longestPause{};
    };
    using Attempts = std::map<AttemptNumber, Attempt>;

    void arrive(std::size_t request);
    void submit(std::size_t request, std::uint32_t runs, std::unordered_set<UpstreamId> excluded);
    void carryOut(const Placement::PlacementActions &actions);
    void granted(const Placement::Grant &grant);
    void refused(const Placement::Refusal &refusal);
    /// Sends the attempt to its engines.
    void start(AttemptNumber number, const Placement::Assignment &assignment);
    void startPass(std::size_t engine);
    void finishPass(std::size_t engine);
    void partRead(AttemptNumber number, std::size_t engine);
    void pieceWritten(AttemptNumber number);
    void end(Attempts::iterator attempt, Placement::GrantOutcome outcome);
    /// Ends the attempt and sends the request again if it may run once more.
    void retry(AttemptNumber number, Placement::GrantOutcome outcome);
    void lose(const EngineLoss &loss);
    void loseEngine(std::size_t engine);
    void restartEngine(std::size_t engine);
    void publishUpstreams();
    std::size_t engineOf(const UpstreamId &id) const;
    std::uint64_t tokensPerPiece() const;

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
