#pragma once

#include "Daemon/AnswerSource.h"
#include "Daemon/AttemptListener.h"
#include "Daemon/EntryRouter.h"
#include "Daemon/TrafficWorker.h"
#include "Peer/PeerMessages_generated.h"
#include "Streams/StreamSession.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Mangofall {

/**
 * \class AnswerRequest
 * \brief The parts of a request that are the same in each of its attempts.
 */
struct AnswerRequest {
    RequestProfile profile;
    std::uint32_t weight = 1;
    RequestId id;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    bool tokenStream = true;
    std::size_t promptBytes = 0;
    std::string traceParent;
    /// Builds the request body. The argument is the text that another upstream already delivered, or empty.
    std::function<std::string(std::string_view)> makeBody;
};

/**
 * \class AnswerSession
 * \brief Runs the StreamSession of one request: executes its actions and turns the messages of dispatchers into its events.
 *
 * The caller's coroutine takes the text of the answer with next(), one event at a time.
 */
class AnswerSession : public AnswerSource, private AttemptListener
{
public:
    /// \p worker must outlive the session.
    AnswerSession(TrafficWorker &worker, AnswerRequest request);
    ~AnswerSession() override;
    AnswerSession(const AnswerSession &) = delete;
    AnswerSession &operator=(const AnswerSession &) = delete;

    boost::asio::awaitable<std::optional<std::string>> next() override;
    void callerLeft() override;
    ErrorKind error() const override;
    bool notRun() const override;

    /// HTTP status and content type of the upstream's answer; 0 and empty before the answer begins.
    unsigned upstreamStatus() const;
    const std::string &contentType() const;
    std::uint64_t promptTokens() const override;
    std::uint32_t tokens() const override;

private:
    void handleAnswer(const Wire::PeerMessageT &message) override;
    void handleLinkBroken(const HostId &host) override;

    void apply(const StreamEvent &event);
    void executeActions(const std::vector<StreamAction> &actions);
    void execute(const ChooseUpstream &action);
    void execute(const OpenAttempt &action);
    void execute(const CloseConnection &action);
    void execute(const CancelAttempt &action);
    void execute(const ProbeUpstream &action);
    void execute(const SuspectUpstream &action);
    void execute(const PauseReading &action);
    void execute(const ResumeReading &action);
    void execute(const Deliver &action);
    void execute(const Finish &action);
    void execute(const Fail &action);
    void handleEnd(const Wire::StreamEndT &end);
    void setPaused(std::uint64_t connection, bool paused);
    void wakeReader();

    TrafficWorker &m_worker;
    AnswerRequest m_request;
    TrafficWorker::SessionGuard m_guard;
    StreamSession m_session;
    boost::asio::steady_timer m_timer;
    TimePoint m_startedAt;
    std::deque<StreamEvent> m_events;
    bool m_applying = false;
    std::deque<std::string> m_pendingTexts;
    bool m_awaitingWrite = false; ///< next() returned text, so the next call reports CallerReady.
    std::string m_deliveredText; ///< Text delivered so far, from which another upstream can continue the answer.
    AttemptId m_attempt;
    UpstreamId m_upstream;
    HostId m_runAt; ///< Set for a request suspected of crashing upstreams: only this host's dispatchers may run it.
    ConnectionNumber m_connection = 0;
    std::map<UpstreamId, std::uint64_t> m_cachedTokens;
    std::map<std::uint64_t, std::uint64_t> m_probes; ///< Maps the worker's number of a probe to the session's.
    bool m_ended = false;
    ErrorKind m_error = ErrorKind::None;
    bool m_notRun = false;
    unsigned m_status = 0;
    std::string m_contentType;
    std::uint64_t m_promptTokens = 0;
    std::uint32_t m_tokens = 0;
};

}
