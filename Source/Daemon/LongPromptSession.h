#pragma once

#include "Daemon/AnswerSession.h"
#include "Daemon/AnswerSource.h"
#include "Daemon/AttemptListener.h"
#include "Daemon/TrafficWorker.h"
#include "Engines/LongPromptCoordinator.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Mangofall {

/**
 * \class LongPromptSession
 * \brief Runs the LongPromptCoordinator of one request whose prompt needs several engines.
 *
 * Reservations and chain steps go to the engines' dispatchers. An interrupted answer is not resumed: the request fails and
 * all its reservations are released.
 */
class LongPromptSession : public AnswerSource, private AttemptListener
{
public:
    /// \p worker must outlive the session.
    LongPromptSession(TrafficWorker &worker, AnswerRequest request, const LongPromptPlan &plan);
    ~LongPromptSession() override;
    LongPromptSession(const LongPromptSession &) = delete;
    LongPromptSession &operator=(const LongPromptSession &) = delete;

    boost::asio::awaitable<std::optional<std::string>> next() override;
    void callerLeft() override;
    ErrorKind error() const override;
    bool notRun() const override;
    std::uint64_t promptTokens() const override;
    std::uint32_t tokens() const override;

private:
    using Event = std::variant<ReserveAtAnswered, ChainStepEnded, CancelLongPrompt, LongPromptTick>;

    /// The chain step whose call to the engine has not ended yet.
    struct RunningStep {
        RunChainStep step;
        AttemptId attempt;
        HostId dispatcher;
        KvBlockId block; ///< For an export, the block that it creates.
        unsigned status = 0; ///< HTTP status of the engine's answer.
    };

    void handleAnswer(const Wire::PeerMessageT &message) override;
    void handleLinkBroken(const HostId &host) override;

    void apply(const Event &event);
    LongPromptActions passToCoordinator(const Event &event);
    void execute(const ReserveAt &action);
    void execute(const ReleaseAt &action);
    void execute(const RunChainStep &action);
    void execute(const LongPromptEnded &action);
    Wire::DispatchT makeDispatch(const RunChainStep &step) const;
    std::string stepBody(const RunChainStep &step) const;
    void handleData(const Wire::StreamDataT &data);
    void handleEnd(const Wire::StreamEndT &end);
    void endStep(bool succeeded);
    void cancelStep();
    void setPaused(bool paused);
    void scheduleTick();

    TrafficWorker &m_worker;
    AnswerRequest m_request;
    TrafficWorker::SessionGuard m_guard;
    LongPromptCoordinator m_coordinator;
    boost::asio::steady_timer m_eventTimer; ///< Cancelled when next() has something to return.
    boost::asio::steady_timer m_tickTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::deque<Event> m_events;
    bool m_applying = false;
    std::map<std::uint64_t, AttemptId> m_reservationCalls; ///< Unanswered reservation calls by number, with the owners of the reservations.
    std::optional<RunningStep> m_runningStep;
    std::size_t m_exportCount = 0;
    std::deque<std::string> m_pendingTexts;
    bool m_paused = false;
    bool m_ended = false;
    ErrorKind m_error = ErrorKind::None;
    bool m_notRun = false;
    ErrorKind m_stepError = ErrorKind::None; ///< The cause that the dispatcher gave for a failed step.
    std::uint64_t m_promptTokens = 0;
    std::uint32_t m_tokens = 0;
};

}
