#include "Forwarding/ForwardingSession.h"

#include "Base/ErrorAnswer.h"
#include "Base/Hash.h"
#include "Forwarding/AnswerMemory.h"
#include "Forwarding/EventBatch.h"
#include "Forwarding/MemoryReservationSet.h"
#include "Forwarding/MessageTranslator.h"
#include "Forwarding/RetryBudgets.h"
#include "Forwarding/SingleCallPool.h"
#include "Forwarding/UpstreamAvailability.h"
#include "Http/HttpExchange.h"
#include "Http/SseEventSplitter.h"
#include "Telemetry/EventLog.h"
#include "Telemetry/ForwardingMetrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace Mangofall::Forwarding {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::size_t maxWholeAnswerBytes = 16UL * 1024 * 1024;
constexpr std::size_t maxEventBytes = 1024UL * 1024;
// An upstream that sends nothing for this multiple of the expected time counts as silent, if the request can be sent to another upstream.
constexpr int silenceFactor = 2;
// First event estimates are exceeded under load, and giving an upstream up wastes the prefill that it has done.
constexpr int firstEventEstimateFactor = 4;
constexpr std::chrono::milliseconds minSilenceTimeout{1000};
// An idempotent request without an answer after this multiple of its target is sent to another upstream.
constexpr int answerTimeoutFactor = 2;
constexpr unsigned firstErrorStatus = 300;
constexpr unsigned okStatus = 200;
// An assignment is stale if this host knows that its upstream is leaving, was removed or is out of service. After this many of them the owner's upstream
// list is far out of date, and the request is refused.
constexpr int maxStaleAssignments = 20;

// True for statuses from which a caller concludes that the request has not run.
bool assertsNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

ServiceId pickService(const RouteRule &route, RandomEngine &random)
{
    std::uint32_t total = 0;
    for (const WeightedService &choice : route.services) {
        total += choice.weight;
    }
    std::uint32_t drawn = total > 0 ? std::uniform_int_distribution<std::uint32_t>(0, total - 1)(random) : 0;
    for (const WeightedService &choice : route.services) {
        if (drawn < choice.weight) {
            return choice.service;
        }
        drawn -= choice.weight;
    }
    return route.services.front().service;
}

AttemptResult failedAttempt(AttemptOutcome outcome, Placement::GrantOutcome grantOutcome, std::string cause)
{
    AttemptResult attempt;
    attempt.outcome = outcome;
    attempt.grantOutcome = grantOutcome;
    attempt.cause = std::move(cause);
    return attempt;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string describe(const Placement::Assignment &assignment)
{
    std::string text = assignment.upstream.value();
    for (std::size_t index = 0; index < assignment.helpers.size(); ++index) {
        text += (index == 0 ? " helpers=" : ",") + assignment.helpers[index].value();
    }
    return text;
}

std::string reservationName(const Placement::PlacementRequestId &id)
{
    return id.host.value() + "-" + std::to_string(id.number);
}

// Hash of path, organisation and body: equal when a caller repeats a request under another id.
std::uint64_t fingerprint(const CallerRequest &request, const OrganisationRule *organisation, const std::string &body)
{
    const std::string sender = organisation != nullptr ? organisation->id.value() : std::string();
    return hash64(request.path + '\n' + sender + '\n' + body);
}

std::vector<std::uint64_t> partHashes(const std::vector<std::string> &parts)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(parts.size());
    for (const std::string &part : parts) {
        hashes.push_back(hash64("part " + part));
    }
    std::sort(hashes.begin(), hashes.end());
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    return hashes;
}

std::string joinedNames(const std::vector<std::string> &parts)
{
    std::string names;
    for (const std::string &part : parts) {
        names += (names.empty() ? "" : ",") + part;
    }
    return names;
}

bool isRepeatable(const RouteRule &route)
{
    return route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Stream && route.resumable);
}

}

ForwardingSession::ForwardingSession(ForwardingContext &context,
                                     HttpExchange &exchange,
                                     CallerRequest request,
                                     std::shared_ptr<const RouteTable> routes,
                                     const RouteRule &route,
                                     const OrganisationRule *organisation)
    : m_context(context)
    , m_exchange(exchange)
    , m_request(std::move(request))
    , m_routes(std::move(routes))
    , m_route(route)
    , m_organisation(organisation)
    , m_service(pickService(route, context.budgets.random()))
    , m_deadline(exchange.receivedAt() + std::min(m_request.callerTimeout.value_or(route.timeout), route.timeout))
    , m_policy(isRepeatable(route), route.maxRuns)
    , m_progress(exchange.receivedAt(), m_request.lastEventId)
    , m_fingerprint(fingerprint(m_request, organisation, exchange.request().body()))
    , m_waitTimer(context.io)
    , m_silenceTimer(context.io)
    , m_sharedParts(partHashes(m_request.sharedPromptParts))
    , m_sharedPartNames(joinedNames(m_request.sharedPromptParts))
{
    m_request.sharedPromptParts = {};
}

Asio::awaitable<void> ForwardingSession::run()
{
    m_exchange.watchForClose([weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->onCallerDisconnected();
        }
    });
    m_context.budgets.of(m_service).countFirstAttempt();
    co_await serve();
    m_finished = true;
}

void ForwardingSession::end()
{
    m_hostEnding = true;
    refuseWaiting();
    if (const auto reservations = m_reservations.lock()) {
        reservations->release();
    }
    if (m_call != nullptr) {
        m_call->cancel();
    }
}

void ForwardingSession::abandon()
{
    m_finished = true;
    m_call = nullptr;
    m_waitTimer.cancel();
    m_silenceTimer.cancel();
    if (const auto reservations = m_reservations.lock()) {
        reservations->release();
    }
    m_context.placement.ended(m_placementRequestId, GrantOutcome::Cancelled, std::nullopt);
}

void ForwardingSession::refuseWaiting()
{
    m_hostStopping = true;
    m_waitTimer.cancel();
}

Asio::awaitable<void> ForwardingSession::serve()
{
    int staleAssignments = 0;
    while (!m_callerDisconnected) {
        const std::optional<PlacementGateway::Answer> answer = co_await awaitPlacement();
        if (!answer) {
            m_context.placement.ended(m_placementRequestId, GrantOutcome::Cancelled, std::nullopt);
            if (!m_callerDisconnected) {
                const ErrorKind errorKind = m_hostStopping ? ErrorKind::HostLeaving : ErrorKind::DeadlineUnreachable;
                const Duration retryAfter = m_hostStopping ? Duration(errorAnswer(errorKind).retryAfter) : Duration::zero();
                co_await answerError(unlessMayHaveRun(errorKind), retryAfter);
            }
            break;
        }
        if (const auto *refusal = std::get_if<Placement::Refusal>(&*answer)) {
            if (refusal->kind == ErrorKind::Quarantined) {
                logSuspects("request_held_back", UpstreamId());
            }
            co_await answerError(unlessMayHaveRun(refusal->kind), refusal->retryAfter);
            break;
        }
        const Assignment &assignment = std::get<Assignment>(*answer);
        if (const std::optional<UpstreamId> unusable = unusableUpstream(assignment)) {
            logDecision("stale_place", unusable->value());
            m_excluded.insert(*unusable);
            m_context.placement.ended(m_placementRequestId, GrantOutcome::Unused, std::nullopt);
            if (++staleAssignments < maxStaleAssignments) {
                continue;
            }
            co_await answerError(unlessMayHaveRun(ErrorKind::NoUpstream), errorAnswer(ErrorKind::NoUpstream).retryAfter);
            break;
        }
        if (outlastsHost(assignment)) {
            m_context.placement.ended(m_placementRequestId, GrantOutcome::Unused, std::nullopt);
            co_await answerError(unlessMayHaveRun(ErrorKind::HostLeaving), errorAnswer(ErrorKind::HostLeaving).retryAfter);
            break;
        }
        AttemptResult attempt = co_await sendWithReservations(assignment);
        m_context.placement.ended(m_placementRequestId, m_callerDisconnected ? GrantOutcome::Cancelled : attempt.grantOutcome, attempt.faulty);
        if (m_callerDisconnected) {
            break;
        }
        if (!attempt.faulty) {
            m_excluded.insert(assignment.upstream);
        }
        if (attempt.outcome != AttemptOutcome::Answered) {
            logDecision("attempt_failed", attempt.cause);
        }
        if (attempt.grantOutcome == GrantOutcome::Broken) {
            logSuspects("upstream_broke_off", assignment.upstream);
        }
        NextStep step = m_policy.decide(attempt.outcome, m_deadline - Clock::now());
        if (step == NextStep::Retry) {
            bool willRetry = false;
            if (!m_hostEnding) {
                willRetry = co_await retryAfter(attempt);
            }
            if (willRetry) {
                continue;
            }
            step = m_policy.withoutRetry(attempt.outcome);
        }
        if (step == NextStep::Deliver) {
            co_await deliver(std::move(attempt));
        } else {
            const bool deadlinePassed = Clock::now() >= m_deadline;
            const ErrorKind failure = deadlinePassed ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed;
            const ErrorKind kind = step == NextStep::Fail ? failure : ErrorKind::NoUpstream;
            co_await answerError(kind, errorAnswer(ErrorKind::UpstreamRefused).retryAfter);
        }
        co_return;
    }
    if (m_callerDisconnected) {
        logDecision("caller_left", {});
        m_exchange.disableKeepAlive();
    }
}

Asio::awaitable<std::optional<PlacementGateway::Answer>> ForwardingSession::awaitPlacement()
{
    m_answer.reset();
    m_waitTimer.expires_at(m_deadline);
    const Placement::PlacementRequest placementRequest = makePlacementRequest();
    m_placementRequestId = placementRequest.id;
    m_context.placement.submit(placementRequest, [weak = weak_from_this(), id = placementRequest.id](PlacementGateway::Answer answer) {
        const auto self = weak.lock();
        if (self && self->m_placementRequestId == id) {
            self->m_answer = std::move(answer);
            self->m_waitTimer.cancel();
        }
    });
    if (!m_answer && !m_callerDisconnected && !m_hostStopping) {
        co_await m_waitTimer.async_wait(awaitTuple);
    }
    if (m_callerDisconnected) {
        co_return std::nullopt;
    }
    co_return m_answer;
}

Placement::PlacementRequest ForwardingSession::makePlacementRequest()
{
    Placement::PlacementRequest placementRequest;
    placementRequest.id = m_context.placement.nextId();
    placementRequest.service = m_service;
    placementRequest.promptTokens = m_request.promptTokens;
    placementRequest.outputTokens = m_request.outputTokens;
    placementRequest.requestBytes = m_exchange.request().body().size();
    placementRequest.answerBytes = m_context.answerSizes.expected(m_service, m_request.outputTokens);
    placementRequest.target = m_route.target;
    placementRequest.pauseLimit = m_route.pauseLimit;
    placementRequest.arrivedAt = m_exchange.receivedAt();
    placementRequest.deadline = m_deadline;
    placementRequest.priority = m_organisation != nullptr ? m_organisation->priority.value_or(m_route.priority) : m_route.priority;
    placementRequest.fingerprint = m_fingerprint;
    placementRequest.sharedParts = m_sharedParts;
    placementRequest.excluded = m_excluded;
    placementRequest.firstAttempt = !std::exchange(m_placementRequested, true);
    placementRequest.borrowsRetry = std::exchange(m_borrowsRetry, false);
    return placementRequest;
}

Asio::awaitable<AttemptResult> ForwardingSession::sendWithReservations(const Assignment &assignment)
{
    std::vector<MemoryReservation> reservations = reservationsFor(assignment);
    if (reservations.empty()) {
        AttemptResult attempt = co_await sendToUpstream(assignment);
        co_return attempt;
    }
    const auto reservationSet = std::make_shared<MemoryReservationSet>(m_context.io, m_context.engineMemory, std::move(reservations));
    m_reservations = reservationSet;
    const bool reserved = co_await reservationSet->acquire(m_deadline);
    // With the outcome of a rejection the owner leaves the helper alone for a while.
    const GrantOutcome refusal = reservationSet->silentUpstream() ? GrantOutcome::Rejected : GrantOutcome::Cancelled;
    AttemptResult attempt = failedAttempt(AttemptOutcome::NotSent, refusal, "no memory on the helpers");
    attempt.faulty = reservationSet->silentUpstream();
    if (reserved && !m_callerDisconnected) {
        attempt = co_await sendToUpstream(assignment);
    }
    reservationSet->release();
    co_return attempt;
}

std::optional<UpstreamId> ForwardingSession::unusableUpstream(const Assignment &assignment) const
{
    const TimePoint now = Clock::now();
    if (!m_context.upstreams.mayUse(assignment.upstream, now)) {
        return assignment.upstream;
    }
    for (const UpstreamId &helper : assignment.helpers) {
        if (!m_context.upstreams.mayUse(helper, now)) {
            return helper;
        }
    }
    return std::nullopt;
}

bool ForwardingSession::outlastsHost(const Assignment &assignment) const
{
    const bool estimated = assignment.firstEventEstimate > Duration::zero();
    const Duration expected = estimated ? assignment.firstEventEstimate : m_route.target;
    return m_context.hostEndsAt && Clock::now() + expected > *m_context.hostEndsAt;
}

std::vector<MemoryReservation> ForwardingSession::reservationsFor(const Assignment &assignment) const
{
    std::vector<MemoryReservation> reservations;
    for (std::size_t index = 0; index < assignment.helperMemory.size(); ++index) {
        if (assignment.helperMemory[index] > 0) {
            reservations.push_back(
                {assignment.helpers[index], assignment.helperAddresses[index], reservationName(m_placementRequestId), assignment.helperMemory[index]});
        }
    }
    return reservations;
}

Asio::awaitable<AttemptResult> ForwardingSession::sendToUpstream(const Assignment &assignment)
{
    const TimePoint now = Clock::now();
    AttemptParameters parameters;
    parameters.upstream = assignment.upstream;
    parameters.organisation = m_organisation != nullptr ? m_organisation->id : OrganisationId();
    parameters.timeLeft = m_deadline - now;
    for (std::size_t index = 0; index < assignment.helperAddresses.size(); ++index) {
        const bool hasReservation = index < assignment.helperMemory.size() && assignment.helperMemory[index] > 0;
        parameters.helpers.push_back({assignment.helperAddresses[index], hasReservation ? reservationName(m_placementRequestId) : std::string()});
    }
    parameters.resumeAfter = m_progress.lastEventId();
    m_firstEventEstimate = assignment.firstEventEstimate;
    logDecision("sent", describe(assignment));
    UpstreamCall call(singleCallPool(m_context.io, assignment.address), m_deadline);
    m_call = &call;
    m_answerBegan = false;
    m_answerShare.emplace(m_context.answerMemory, [this]() {
        onAnswerMemoryRevoked();
    });
    // Reserved memory of helpers must not stay in use for an upstream whose machine is gone.
    if (!assignment.helperMemory.empty()) {
        call.detectUnreachableUpstream();
    }
    startSilenceTimer(answerTimeout(assignment, now));
    // GCC 12 destroys some temporaries of a co_await expression twice; arguments are therefore named variables.
    UpstreamCall::Request request = m_context.translator.encodeRequest(m_exchange, m_request, parameters);
    const boost::system::error_code error = co_await call.start(std::move(request), m_exchange.request().body());
    AttemptResult result;
    if (!error) {
        result = co_await receive(call, assignment);
    } else if (call.anyBytesSent()) {
        result = interruptedAttempt(error);
    } else {
        result.grantOutcome = m_hostEnding ? GrantOutcome::Cancelled : result.grantOutcome;
        result.cause = error.message();
    }
    if (result.outcome == AttemptOutcome::Answered) {
        m_context.answerSizes.record(m_service, call.receivedBytes());
    }
    m_call = nullptr;
    m_silenceTimer.cancel();
    co_return result;
}

Asio::awaitable<AttemptResult> ForwardingSession::receive(UpstreamCall &call, const Assignment &assignment)
{
    const UpstreamAnswer answer = m_context.translator.decodeAnswer(call, m_request);
    recordNotice(assignment.upstream, answer);
    AttemptResult result;
    if (answer.answersOtherRequest || answer.encoded) {
        result = failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "answer of another request or encoded answer");
    } else if (answer.wrongUpstream) {
        result = failedAttempt(AttemptOutcome::NotExecuted, GrantOutcome::WrongUpstream, "another upstream has the address");
    } else if (answer.provenNotExecuted) {
        result = failedAttempt(AttemptOutcome::NotExecuted, GrantOutcome::Rejected, "rejected");
        for (std::size_t index = 0; answer.faultyHelper && index < assignment.helperAddresses.size(); ++index) {
            if (assignment.helperAddresses[index] == *answer.faultyHelper) {
                result.faulty = assignment.helpers[index];
            }
        }
    } else if (answer.status < firstErrorStatus && !answer.authentic) {
        result = failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "answer without signature");
    } else if (assertsNotRun(answer.status)) {
        result = failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Failed, "refusal without proof");
    } else if (answer.status == okStatus && isStream()) {
        result = co_await relayStream(call, answer);
    } else if (answer.status < firstErrorStatus && m_exchange.started()) {
        result = failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "no stream where one had begun");
    } else {
        result = co_await receiveWhole(call, answer);
    }
    co_return result;
}

// At an address that another upstream has taken over, the notice is not the assigned upstream's.
void ForwardingSession::recordNotice(const UpstreamId &upstream, const UpstreamAnswer &answer)
{
    if (answer.load && !answer.wrongUpstream) {
        m_context.placement.loadReported(m_placementRequestId, *answer.load);
    }
    if (answer.notice.empty() || answer.wrongUpstream) {
        return;
    }
    logDecision(answer.notice.leaving ? "upstream_says_leaving" : "upstream_wants_pause", upstream.value());
    m_context.upstreams.recordNotice(upstream, answer.notice, Clock::now());
    m_context.placement.noticeReceived(m_placementRequestId, answer.notice);
}

Asio::awaitable<AttemptResult> ForwardingSession::receiveWhole(UpstreamCall &call, const UpstreamAnswer &answer)
{
    std::string body;
    std::string part;
    do {
        const boost::system::error_code error = co_await call.read(part);
        if (error) {
            co_return interruptedAttempt(error);
        }
        if (call.receivedBytes() > maxWholeAnswerBytes) {
            co_return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "answer too large");
        }
        if (!m_answerShare->resize(body.size() + part.size())) {
            co_return revokedAttempt();
        }
        body += part;
    } while (!part.empty());
    m_answerShare->complete();
    const bool failed = answer.status >= firstErrorStatus;
    AttemptResult result;
    result.outcome = failed ? AttemptOutcome::Failed : AttemptOutcome::Answered;
    result.grantOutcome = failed ? GrantOutcome::Failed : GrantOutcome::Completed;
    result.status = answer.status;
    result.fields = answer.fields;
    result.body = std::move(body);
    result.cause = failed ? "error answer" : "";
    co_return result;
}

Asio::awaitable<AttemptResult> ForwardingSession::relayStream(UpstreamCall &call, const UpstreamAnswer &answer)
{
    SseEventSplitter splitter;
    std::string data;
    bool first = true;
    while (true) {
        const boost::system::error_code error = co_await call.read(data);
        if (error) {
            co_return interruptedAttempt(error);
        }
        if (data.empty()) {
            break;
        }
        splitter.append(data);
        EventBatch batch(m_progress.lastEventId());
        const bool wellFormed = batch.takeFrom(splitter);
        if (!m_answerShare->resize(splitter.pending().size())) {
            co_return revokedAttempt();
        }
        if (!batch.empty()) {
            m_silenceTimer.cancel();
            if (first) {
                m_context.placement.firstEventReceived(m_placementRequestId);
                m_answerBegan = true;
                first = false;
            }
            const bool relayed = co_await relayEvents(batch, answer);
            if (!relayed) {
                m_callerDisconnected = true;
                co_return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Cancelled, "caller left");
            }
        }
        if (!wellFormed) {
            co_return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "malformed event");
        }
        if (splitter.pending().size() > maxEventBytes) {
            co_return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Malformed, "event too large");
        }
        if (batch.empty()) {
            continue;
        }
        // Started by events only: bytes that complete none are no sign that the upstream goes on. A slow caller is not the upstream's silence.
        startSilenceTimer(pauseTimeout(Clock::now()));
    }
    if (!splitter.pending().empty() || first) {
        co_return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Broken, "stream ended inside an event or without one");
    }
    co_return AttemptResult{AttemptOutcome::Answered, GrantOutcome::Completed, {}, answer.status, {}, {}, {}};
}

Asio::awaitable<bool> ForwardingSession::relayEvents(const EventBatch &batch, const UpstreamAnswer &answer)
{
    const TimePoint now = Clock::now();
    m_progress.recordRelay(now);
    if (!m_exchange.started()) {
        m_context.metrics.recordFirstEvent(m_route.name, *m_progress.timeToFirstEvent());
        std::string contentType; // The content type is among the upstream's header fields.
        HeaderFields fields = answer.fields;
        const bool started = co_await m_exchange.startStream(answer.status, std::move(contentType), std::move(fields));
        if (!started) {
            co_return false;
        }
    }
    const bool written = co_await m_exchange.writeChunk(batch.bytes());
    if (written) {
        m_progress.advance(batch.lastEventId());
    }
    co_return written;
}

Asio::awaitable<bool> ForwardingSession::retryAfter(const AttemptResult &attempt)
{
    // A request that has reached no upstream has cost none of them any work, and a silent upstream is given up only after the budget was charged.
    const bool withoutCharge = std::exchange(m_retryCharged, false) || !m_policy.hasReachedUpstream();
    std::optional<Duration> backoff = Duration::zero();
    if (!withoutCharge) {
        backoff = m_context.budgets.of(m_service).takeRetry(m_policy.attempts(), m_context.budgets.random());
    }
    // The owner of the service lends a retry if other hosts have not used theirs. Without one, only a request that has not run may still be refused.
    if (!backoff && m_policy.withoutRetry(attempt.outcome) == NextStep::Refuse) {
        m_borrowsRetry = true;
        m_context.metrics.recordRetry("borrowed after: " + attempt.cause);
        logDecision("retry_borrowed", attempt.cause);
        co_return true;
    }
    m_context.metrics.recordRetry(backoff ? attempt.cause : "budget spent");
    if (!backoff) {
        logDecision("retry_refused", "retry budget exhausted after: " + attempt.cause);
        co_return false;
    }
    logDecision("retry", attempt.cause);
    if (!withoutCharge && attempt.grantOutcome == GrantOutcome::Rejected) {
        m_waitTimer.expires_after(*backoff);
        co_await m_waitTimer.async_wait(awaitTuple);
    }
    co_return true;
}

Asio::awaitable<void> ForwardingSession::deliver(AttemptResult attempt)
{
    if (m_exchange.started()) {
        if (attempt.outcome != AttemptOutcome::Answered) {
            co_await failStream(ErrorKind::UpstreamFailed);
            co_return;
        }
        co_await m_exchange.finishStream();
    } else {
        std::string contentType; // The content type is among the upstream's header fields.
        co_await m_exchange.respond(attempt.status, std::move(contentType), std::move(attempt.body), std::move(attempt.fields));
    }
    const Duration duration = Clock::now() - m_exchange.receivedAt();
    m_context.metrics.recordAnswer(m_route.name, attempt.status, duration);
    logDecision("answered", std::to_string(attempt.status));
}

Asio::awaitable<void> ForwardingSession::answerError(ErrorKind kind, Duration retryAfter)
{
    if (m_exchange.started()) {
        co_await failStream(kind);
        co_return;
    }
    const ErrorAnswer &answer = errorAnswer(kind);
    std::string contentType = "application/json";
    std::string body = errorBody(answer);
    m_context.metrics.recordRefusal(m_route.name, std::string(answer.name));
    logDecision("refused", answer.name);
    HeaderFields fields = m_context.translator.localAnswerFields(m_request, retryAfter);
    co_await m_exchange.respond(static_cast<unsigned>(answer.httpStatus), std::move(contentType), std::move(body), std::move(fields));
}

ErrorKind ForwardingSession::unlessMayHaveRun(ErrorKind refusal) const
{
    return m_policy.mayHaveRun() ? ErrorKind::UpstreamFailed : refusal;
}

Asio::awaitable<void> ForwardingSession::failStream(ErrorKind kind)
{
    m_context.metrics.recordRefusal(m_route.name, "stream_" + std::string(errorAnswer(kind).name));
    logDecision("stream_broken", errorAnswer(kind).name);
    m_exchange.abortStream();
    co_return;
}

AttemptResult ForwardingSession::revokedAttempt()
{
    return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Failed, "no memory for the answer");
}

AttemptResult ForwardingSession::interruptedAttempt(const boost::system::error_code &error) const
{
    if (m_hostEnding) {
        return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Cancelled, "host ends");
    }
    if (m_answerShare && m_answerShare->isRevoked()) {
        return revokedAttempt();
    }
    if (m_retryCharged || error == boost::beast::error::timeout) {
        return failedAttempt(AttemptOutcome::MayHaveRun, GrantOutcome::Silent, "silent");
    }
    return failedAttempt(AttemptOutcome::MayHaveRun, isMalformedResponse(error) ? GrantOutcome::Malformed : GrantOutcome::Broken, error.message());
}

Duration ForwardingSession::answerTimeout(const Assignment &assignment, TimePoint now) const
{
    const Duration left = m_deadline - now;
    if (!isStream()) {
        return std::min(left, m_route.target * answerTimeoutFactor);
    }
    const Duration expected = std::max(assignment.firstEventEstimate * firstEventEstimateFactor, m_route.target * silenceFactor) + minSilenceTimeout;
    return std::min(left, expected);
}

Duration ForwardingSession::pauseTimeout(TimePoint now) const
{
    const Duration left = m_deadline - now;
    return std::min(left, std::max<Duration>(minSilenceTimeout, m_route.pauseLimit * silenceFactor));
}

void ForwardingSession::startSilenceTimer(Duration limit)
{
    if (!m_policy.mayRunAgain()) {
        m_silenceTimer.cancel();
        return;
    }
    m_silenceTimer.expires_after(limit);
    m_silenceTimer.async_wait([weak = weak_from_this(), limit](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onUpstreamSilent(limit);
        }
    });
}

// A call that cannot be replaced by one to another upstream is not ended for silence: the upstream may only be slow.
void ForwardingSession::onUpstreamSilent(Duration limit)
{
    if (m_call == nullptr || m_retryCharged || m_callerDisconnected) {
        return;
    }
    // A host that stops makes no further attempt, so that the present one is the only way to an answer.
    m_retryCharged = !m_hostStopping && m_context.budgets.of(m_service).takeRetry(m_policy.attempts() + 1, m_context.budgets.random()).has_value();
    if (m_retryCharged) {
        m_call->cancel();
    } else {
        startSilenceTimer(limit);
    }
}

void ForwardingSession::onCallerDisconnected()
{
    if (m_finished) {
        return;
    }
    m_callerDisconnected = true;
    m_waitTimer.cancel();
    if (const auto reservations = m_reservations.lock()) {
        reservations->release();
    }
    if (m_call != nullptr) {
        m_call->cancel();
    }
}

void ForwardingSession::onAnswerMemoryRevoked()
{
    logDecision("answer_memory_revoked", std::to_string(m_context.answerMemory.usedBytes()));
    if (m_call != nullptr) {
        m_call->cancel();
    }
}

bool ForwardingSession::isStream() const
{
    return m_route.kind == RequestKind::Stream;
}

void ForwardingSession::logSuspects(std::string_view event, const UpstreamId &upstream) const
{
    m_context.log.write(event,
                        {{"request", m_request.id.value()},
                         {"upstream", upstream.value()},
                         {"answer_began", m_answerBegan ? "true" : "false"},
                         {"fingerprint", Placement::suspectName(m_fingerprint)},
                         {"part_count", std::to_string(m_sharedParts.size())},
                         {"parts", m_sharedPartNames}});
}

void ForwardingSession::logDecision(std::string_view event, std::string_view detail) const
{
    const std::optional<Duration> timeToFirstEvent = m_progress.timeToFirstEvent();
    const std::string firstEventMs = timeToFirstEvent ? milliseconds(*timeToFirstEvent) : std::string();
    m_context.log.write(event,
                        {{"request", m_request.id.value()},
                         {"route", m_route.name},
                         {"detail", std::string(detail)},
                         {"demand", std::to_string(m_placementRequestId.number)},
                         {"age_ms", milliseconds(Clock::now() - m_exchange.receivedAt())},
                         {"left_ms", milliseconds(m_deadline - Clock::now())},
                         {"estimate_ms", m_firstEventEstimate > Duration::zero() ? milliseconds(m_firstEventEstimate) : std::string()},
                         {"first_event_ms", firstEventMs},
                         {"longest_pause_ms", firstEventMs.empty() ? std::string() : milliseconds(m_progress.longestPause())},
                         {"tokens", std::to_string(m_request.promptTokens)},
                         {"events", std::to_string(m_progress.lastEventId())},
                         {"configuration", std::to_string(m_routes->configuration().version)}});
}

}
