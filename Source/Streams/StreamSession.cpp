#include "Streams/StreamSession.h"

#include "Base/ErrorAnswer.h"

#include <algorithm>
#include <utility>

namespace Mangofall {

StreamSession::StreamSession(StreamRequest request, const StreamLimits &limits, RetryBudget &budget, RandomEngine &random)
    : m_request(std::move(request))
    , m_limits(limits)
    , m_budget(budget)
    , m_random(random)
{
}

std::vector<StreamAction> StreamSession::start(TimePoint now)
{
    m_budget.countFirstAttempt();
    m_lastProgress = now;
    choose();
    return std::exchange(m_actions, {});
}

std::vector<StreamAction> StreamSession::handle(const StreamEvent &event, TimePoint now)
{
    if (m_state == State::Ended) {
        ++m_droppedEvents;
        return {};
    }
    std::visit(
        [&](const auto &typed) {
            on(typed, now);
        },
        event);
    return std::exchange(m_actions, {});
}

const StreamRequest &StreamSession::request() const
{
    return m_request;
}

bool StreamSession::ended() const
{
    return m_state == State::Ended;
}

TimePoint StreamSession::nextTick() const
{
    TimePoint next = m_request.deadline;
    if (m_state == State::BackingOff || m_state == State::Probing) {
        next = std::min(next, m_waitUntil);
    } else if (m_state == State::Streaming && m_reading) {
        next = std::min(next, m_lastProgress + m_limits.progressTimeout);
    }
    return next;
}

std::size_t StreamSession::bufferedBytes() const
{
    return m_bufferedBytes;
}

std::uint64_t StreamSession::droppedEvents() const
{
    return m_droppedEvents;
}

void StreamSession::on(const UpstreamChosen &event, TimePoint now)
{
    if (m_state != State::Choosing || event.choice != m_choice) {
        ++m_droppedEvents;
        return;
    }
    m_upstream = event.upstream;
    m_attempt = event.attempt;
    m_attemptMayRun = true;
    m_resumes = 0;
    open(false, now);
}

void StreamSession::on(const UpstreamUnavailable &event, TimePoint)
{
    if (m_state != State::Choosing || event.choice != m_choice) {
        ++m_droppedEvents;
        return;
    }
    fail(event.reason);
}

void StreamSession::on(const TokenReceived &event, TimePoint now)
{
    if (!isCurrent(event.attempt, event.connection)) {
        return;
    }
    if (event.index < m_nextToken) {
        ++m_droppedEvents;
        return;
    }
    if (event.index > m_nextToken) {
        ++m_droppedEvents;
        resumeAfterBreak(now);
        return;
    }
    if (m_undeliveredBytes + event.text.size() > m_limits.maxBytes && m_undeliveredBytes > 0) {
        ++m_droppedEvents;
        closeConnection();
        m_state = State::AwaitingDrain;
        return;
    }
    m_lastProgress = now;
    m_resumes = 0;
    m_state = State::Streaming;
    appendToken(event.text);
    deliver(now);
    pauseOrResumeReading(now);
}

void StreamSession::on(const StreamCompleted &event, TimePoint now)
{
    if (!isCurrent(event.attempt, event.connection)) {
        return;
    }
    if (event.tokens > m_nextToken) {
        resumeAfterBreak(now);
        return;
    }
    closeConnection();
    if (event.tokens < m_nextToken) {
        // The upstream reports fewer tokens than it sent, so the delivered text may be wrong.
        fail(ErrorKind::UpstreamFailed);
        return;
    }
    m_state = State::Completed;
    deliver(now);
}

void StreamSession::on(const AttemptRefused &event, TimePoint now)
{
    if (!isCurrent(event.attempt, event.connection)) {
        return;
    }
    if (m_resumesAttempt) {
        // Only the resumption was refused; the attempt itself may still be running.
        resumeAfterBreak(now);
        return;
    }
    m_attemptMayRun = false;
    failOver(event.reason, now);
}

void StreamSession::on(const ResumeRejected &event, TimePoint now)
{
    if (!isCurrent(event.attempt, event.connection)) {
        return;
    }
    if (!m_resumesAttempt) {
        // The upstream cannot continue an answer of another upstream, and neither can the other upstreams of the pool.
        abandonAttempt();
        fail(ErrorKind::UpstreamFailed);
        return;
    }
    failOver(ErrorKind::UpstreamFailed, now);
}

void StreamSession::on(const ConnectionBroken &event, TimePoint now)
{
    if (isCurrent(event.attempt, event.connection)) {
        resumeAfterBreak(now);
    }
}

void StreamSession::on(const ProbeAnswered &event, TimePoint now)
{
    if (m_state != State::Probing || event.probe != m_probe) {
        ++m_droppedEvents;
        return;
    }
    if (event.responsive) {
        closeConnection();
        open(true, now);
        return;
    }
    m_actions.emplace_back(SuspectUpstream{m_upstream});
    failOver(ErrorKind::UpstreamFailed, now);
}

void StreamSession::on(const UpstreamLost &event, TimePoint now)
{
    if (attemptOpen() && event.upstream == m_upstream) {
        failOver(ErrorKind::UpstreamFailed, now);
    }
}

void StreamSession::on(const CallerReady &, TimePoint now)
{
    m_callerReady = m_callerPresent;
    deliver(now);
    pauseOrResumeReading(now);
}

void StreamSession::on(const CallerLeft &event, TimePoint)
{
    m_callerPresent = false;
    m_callerReady = false;
    if (!event.mayReturn) {
        fail(ErrorKind::Cancelled);
    }
}

void StreamSession::on(const CallerReturned &event, TimePoint now)
{
    if (event.nextToken < m_firstBuffered || event.nextToken > m_nextToken) {
        // The text that the caller lacks was discarded, or the caller names tokens that this session never received.
        fail(ErrorKind::UpstreamFailed);
        return;
    }
    m_nextDelivery = event.nextToken;
    m_undeliveredBytes = 0;
    for (std::uint32_t index = m_nextDelivery; index < m_nextToken; ++index) {
        m_undeliveredBytes += m_tokens[index - m_firstBuffered].size();
    }
    m_callerPresent = true;
    m_callerReady = true;
    deliver(now);
    pauseOrResumeReading(now);
}

void StreamSession::on(const StreamTick &, TimePoint now)
{
    if (now >= m_request.deadline) {
        fail(ErrorKind::DeadlineExceeded);
        return;
    }
    if (m_state == State::BackingOff && now >= m_waitUntil) {
        choose();
    } else if (m_state == State::Probing && now >= m_waitUntil) {
        m_actions.emplace_back(SuspectUpstream{m_upstream});
        failOver(ErrorKind::UpstreamFailed, now);
    } else if (m_state == State::Streaming && m_reading && now >= m_lastProgress + m_limits.progressTimeout) {
        probe(now);
    }
}

bool StreamSession::isCurrent(const AttemptId &attempt, ConnectionNumber connection)
{
    const bool current = m_connectionOpen && attempt == m_attempt && connection == m_connection;
    m_droppedEvents += current ? 0 : 1;
    return current;
}

bool StreamSession::attemptOpen() const
{
    return m_state == State::Streaming || m_state == State::Probing || m_state == State::AwaitingDrain;
}

void StreamSession::choose()
{
    m_state = State::Choosing;
    m_actions.emplace_back(ChooseUpstream{++m_choice, m_nextToken, m_excluded});
}

void StreamSession::open(bool resumes, TimePoint now)
{
    m_state = State::Streaming;
    m_resumesAttempt = resumes;
    m_connectionOpen = true;
    m_reading = true;
    m_lastProgress = now;
    m_actions.emplace_back(OpenAttempt{m_attempt, m_upstream, ++m_connection, m_nextToken, resumes});
    pauseOrResumeReading(now);
}

void StreamSession::closeConnection()
{
    if (m_connectionOpen) {
        m_actions.emplace_back(CloseConnection{m_connection});
        m_connectionOpen = false;
    }
}

void StreamSession::resumeAfterBreak(TimePoint now)
{
    closeConnection();
    ++m_resumes;
    if (m_resumes > m_limits.maxResumes) {
        failOver(ErrorKind::UpstreamFailed, now);
    } else if (m_resumes == 1) {
        open(true, now);
    } else {
        // The new connection failed, too; a probe tells whether the whole upstream is unavailable or only this stream failed.
        probe(now);
    }
}

void StreamSession::probe(TimePoint now)
{
    m_state = State::Probing;
    m_waitUntil = now + m_limits.probeTimeout;
    m_actions.emplace_back(ProbeUpstream{m_upstream, ++m_probe});
}

void StreamSession::abandonAttempt()
{
    closeConnection();
    if (m_attemptMayRun) {
        m_earlierAttemptMayHaveRun = true;
        m_attemptMayRun = false;
        m_actions.emplace_back(CancelAttempt{m_attempt, m_upstream});
    }
}

void StreamSession::failOver(ErrorKind reason, TimePoint now)
{
    abandonAttempt();
    m_excluded.insert(m_upstream);
    const bool allowed = m_request.idempotent || !m_earlierAttemptMayHaveRun;
    if (!allowed || now + m_limits.minTimeToRetry > m_request.deadline) {
        fail(reason);
        return;
    }
    const auto backoff = m_budget.takeRetry(++m_retries, m_random);
    if (!backoff) {
        fail(reason);
        return;
    }
    m_state = State::BackingOff;
    m_waitUntil = now + *backoff;
}

void StreamSession::appendToken(const std::string &text)
{
    m_tokens.push_back(text);
    ++m_nextToken;
    m_bufferedBytes += text.size();
    m_undeliveredBytes += text.size();
}

void StreamSession::deliver(TimePoint now)
{
    if (m_callerReady && m_nextDelivery < m_nextToken) {
        Deliver delivery{m_nextDelivery, m_nextToken - m_nextDelivery, {}};
        for (; m_nextDelivery < m_nextToken; ++m_nextDelivery) {
            delivery.text += m_tokens[m_nextDelivery - m_firstBuffered];
        }
        m_undeliveredBytes = 0;
        m_callerReady = false;
        m_actions.emplace_back(std::move(delivery));
        trimReplayBuffer();
    }
    if (m_state == State::Completed && m_callerReady && m_nextDelivery == m_nextToken) {
        finish();
    } else if (m_state == State::AwaitingDrain && m_undeliveredBytes <= m_limits.resumeBytes) {
        open(true, now);
    }
}

void StreamSession::pauseOrResumeReading(TimePoint now)
{
    if (!m_connectionOpen) {
        return;
    }
    if (m_reading && m_undeliveredBytes >= m_limits.pauseBytes) {
        m_reading = false;
        m_actions.emplace_back(PauseReading{m_connection});
    } else if (!m_reading && m_undeliveredBytes <= m_limits.resumeBytes) {
        m_reading = true;
        m_lastProgress = now;
        m_actions.emplace_back(ResumeReading{m_connection});
    }
}

void StreamSession::trimReplayBuffer()
{
    while (m_firstBuffered < m_nextDelivery && m_bufferedBytes - m_undeliveredBytes > m_limits.replayBytes) {
        m_bufferedBytes -= m_tokens.front().size();
        m_tokens.pop_front();
        ++m_firstBuffered;
    }
}

void StreamSession::finish()
{
    m_state = State::Ended;
    m_actions.emplace_back(Finish{m_nextToken});
}

void StreamSession::fail(ErrorKind kind)
{
    abandonAttempt();
    m_state = State::Ended;
    m_actions.emplace_back(Fail{kind, reportsNotRun(kind, m_earlierAttemptMayHaveRun)});
}

}
