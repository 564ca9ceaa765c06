// Comes before the CppUTest headers, whose redefinition of new breaks the pcg header.
#include "Streams/StreamSession.h"

#include "Property.h"

#include <unordered_set>
#include <vector>

using namespace Mangofall;

namespace {

constexpr std::uint32_t answerTokens = 40;
constexpr std::uint64_t otherHost = 99;
constexpr RetryLimits retryLimits{0.5, 3, std::chrono::milliseconds(10), std::chrono::seconds(1)};

std::string textOf(std::uint32_t index)
{
    return "token" + std::to_string(index) + std::string(index % 7, 'x') + " ";
}

StreamLimits smallLimits()
{
    StreamLimits limits;
    limits.pauseBytes = 40;
    limits.resumeBytes = 10;
    limits.maxBytes = 60;
    limits.replayBytes = 50;
    return limits;
}

StreamRequest makeRequest(bool idempotent)
{
    return {RequestId("r"), OrganisationId("o"), idempotent, TimePoint{} + std::chrono::hours(1)};
}

/// Simulates the upstreams and the caller of one session with correct, late, misdirected, repeated and missing events, and checks each action.
class SessionSimulation
{
public:
    SessionSimulation(bool idempotent, RetryBudget &budget, RandomEngine &random)
        : m_idempotent(idempotent)
        , session(makeRequest(idempotent), smallLimits(), budget, random)
    {
        check(session.start(now));
    }

    void handle(const StreamEvent &event)
    {
        check(session.handle(event, now));
    }

    /// Sends one random event. \p selector determines the connection, which may be an old one, and details of the event.
    void injectEvent(std::uint8_t kind, std::uint8_t selector)
    {
        now += std::chrono::milliseconds(selector);
        if (m_connections.empty() || kind % 16 == 0) {
            choose(selector % 8 != 0);
            return;
        }
        Connection &connection = m_connections[selector % 3 == 0 ? selector % m_connections.size() : m_connections.size() - 1];
        switch (kind % 16) {
        case 1:
            handle(ConnectionBroken{connection.attempt, connection.number});
            break;
        case 2:
            handle(ProbeAnswered{m_probe - selector % 2, selector % 4 != 0});
            break;
        case 3:
            handle(CallerReady{});
            break;
        case 4:
            if (session.nextTick() < session.request().deadline) {
                now = session.nextTick();
                handle(StreamTick{});
            }
            break;
        case 5:
            handle(TokenReceived{{otherHost, 0, connection.attempt.sequence}, connection.number, m_delivered, "foreign"});
            break;
        case 6:
            handle(StreamCompleted{connection.attempt, connection.number, answerTokens});
            break;
        case 7:
            if (connection.resumes) {
                handle(ResumeRejected{connection.attempt, connection.number});
            }
            break;
        case 8:
            leaveAndReturn(selector);
            break;
        default:
            answer(connection, kind % 16);
        }
    }

    /// Serves the session without faults from now on.
    void serveWithoutFaults()
    {
        for (int step = 0; step < 2000 && !session.ended(); ++step) {
            if (m_choicePending) {
                m_refuseNext = false;
                choose(true);
            } else if (m_open && !m_connections.back().refuses) {
                Connection &connection = m_connections.back();
                if (connection.nextIndex < answerTokens) {
                    handle(TokenReceived{connection.attempt, connection.number, connection.nextIndex, textOf(connection.nextIndex)});
                    ++connection.nextIndex;
                } else {
                    handle(StreamCompleted{connection.attempt, connection.number, answerTokens});
                }
            } else if (m_open) {
                answer(m_connections.back(), 0);
            } else if (m_probePending) {
                m_probePending = false;
                handle(ProbeAnswered{m_probe, true});
            } else if (session.nextTick() < session.request().deadline) {
                now = session.nextTick();
                handle(StreamTick{});
            }
            handle(CallerReady{});
        }
    }

    TimePoint now{};
    int endCount = 0;
    bool finished = false;

private:
    struct Connection {
        AttemptId attempt;
        ConnectionNumber number = 0;
        std::uint32_t nextIndex = 0;
        bool resumes = false;
        bool refuses = false;
    };

    void choose(bool available)
    {
        if (!available) {
            handle(UpstreamUnavailable{m_choice, ErrorKind::NoUpstream});
            return;
        }
        m_choicePending = false;
        handle(UpstreamChosen{m_choice, UpstreamId("u" + std::to_string(m_choice)), {1, 1, m_choice}});
    }

    void answer(Connection &connection, std::uint8_t kind)
    {
        if (connection.refuses) {
            handle(AttemptRefused{connection.attempt, connection.number, ErrorKind::UpstreamRefused});
            return;
        }
        constexpr std::uint8_t repeated = 13;
        constexpr std::uint8_t skipping = 14;
        std::uint32_t index = connection.nextIndex;
        if (kind == repeated && index > 0) {
            --index;
        } else if (kind == skipping) {
            ++index;
        }
        if (index < answerTokens) {
            connection.nextIndex = std::max(connection.nextIndex, index + 1);
            handle(TokenReceived{connection.attempt, connection.number, index, textOf(index)});
        }
    }

    void leaveAndReturn(std::uint8_t selector)
    {
        handle(CallerLeft{true});
        // The caller lacks at most the last delivery. The session must fail if that exceeds the replay limit.
        const std::uint32_t from = selector % 2 == 0 ? m_delivered : m_lastDelivery;
        m_delivered = from;
        handle(CallerReturned{from});
    }

    void check(const std::vector<StreamAction> &actions)
    {
        for (const StreamAction &action : actions) {
            RC_ASSERT(endCount == 0);
            std::visit(
                [&](const auto &typed) {
                    on(typed);
                },
                action);
        }
        RC_ASSERT(session.bufferedBytes() <= smallLimits().maxBytes + smallLimits().replayBytes);
        RC_ASSERT(session.ended() == (endCount == 1));
    }

    void on(const ChooseUpstream &action)
    {
        m_choice = action.choice;
        m_choicePending = true;
    }

    void on(const OpenAttempt &action)
    {
        if (!action.resumes) {
            RC_ASSERT(m_idempotent || !mayHaveRun());
        }
        const bool refuses = m_refuseNext && action.connection % 3 == 0;
        if (!refuses) {
            m_writtenAttempts.insert(action.attempt);
        }
        m_connections.push_back({action.attempt, action.connection, action.firstToken, action.resumes, refuses});
        m_open = true;
    }

    void on(const CloseConnection &action)
    {
        RC_ASSERT(m_open && action.connection == m_connections.back().number);
        m_open = false;
    }

    void on(const CancelAttempt &)
    {
    }

    void on(const ProbeUpstream &action)
    {
        m_probe = action.probe;
        m_probePending = true;
    }

    void on(const SuspectUpstream &)
    {
        RC_ASSERT(m_probe > 0U);
    }

    void on(const PauseReading &action)
    {
        RC_ASSERT(m_open && action.connection == m_connections.back().number);
    }

    void on(const ResumeReading &action)
    {
        RC_ASSERT(m_open && action.connection == m_connections.back().number);
    }

    void on(const Deliver &action)
    {
        std::string expected;
        for (std::uint32_t index = m_delivered; index < m_delivered + action.count; ++index) {
            expected += textOf(index);
        }
        RC_ASSERT(action.firstToken == m_delivered);
        RC_ASSERT(action.text == expected);
        m_lastDelivery = m_delivered;
        m_delivered += action.count;
    }

    void on(const Finish &action)
    {
        RC_ASSERT(action.tokens == answerTokens);
        RC_ASSERT(m_delivered == answerTokens);
        finished = true;
        ++endCount;
    }

    void on(const Fail &action)
    {
        RC_ASSERT(!action.notRun || !mayHaveRun());
        ++endCount;
    }

    bool mayHaveRun() const
    {
        return !m_writtenAttempts.empty();
    }

    bool m_idempotent;
    std::vector<Connection> m_connections;
    std::unordered_set<AttemptId> m_writtenAttempts; ///< Attempts of which a byte reached an upstream that did not refuse them.
    std::uint64_t m_choice = 0;
    std::uint64_t m_probe = 0;
    bool m_choicePending = false;
    bool m_probePending = false;
    bool m_open = false;
    bool m_refuseNext = true;
    std::uint32_t m_delivered = 0;
    std::uint32_t m_lastDelivery = 0;

public:
    StreamSession session;
};

using Steps = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

}

TEST_GROUP(StreamSessionTest){};

// Guards against text of other attempts, repeated or missing text, a second end of the answer, an unbounded buffer, a false "not run" and a second
// run of a request that is not idempotent, in whatever order events arrive.
TEST(StreamSessionTest, DeliversAPrefixWithoutGapsAndEndsOnce)
{
    Testing::checkProperty("any events, then the deadline", [](const Steps &steps, bool idempotent, std::uint64_t seed) {
        RandomEngine random(seed);
        RetryBudget budget(retryLimits);
        SessionSimulation simulation(idempotent, budget, random);
        for (const auto &[kind, selector] : steps) {
            simulation.injectEvent(kind, selector);
        }
        simulation.now = std::max(simulation.now, simulation.session.request().deadline);
        simulation.handle(StreamTick{});
        RC_ASSERT(simulation.endCount == 1);
        RC_ASSERT(budget.retries() <= static_cast<std::uint64_t>(retryLimits.reserve));
    });
}

// Guards against a session that never recovers after faults have stopped.
TEST(StreamSessionTest, FinishesOnceFaultsStop)
{
    Testing::checkProperty("a session that has not ended when faults stop finishes", [](const Steps &steps, bool idempotent, std::uint64_t seed) {
        RandomEngine random(seed);
        RetryBudget budget({1, 1000, std::chrono::milliseconds(10), std::chrono::seconds(1)});
        SessionSimulation simulation(idempotent, budget, random);
        for (const auto &[kind, selector] : steps) {
            // Without an available upstream the session ends early.
            if (kind % 16 != 0 || selector % 8 != 0) {
                simulation.injectEvent(kind, selector);
            }
        }
        const bool endedEarly = simulation.session.ended();
        RC_CLASSIFY(endedEarly);
        simulation.serveWithoutFaults();
        RC_ASSERT(simulation.endCount == 1);
        RC_ASSERT(endedEarly || simulation.finished || !idempotent);
    });
}

// Guards against suspecting an upstream because one connection is stalled.
TEST(StreamSessionTest, StalledConnectionIsProbedAndReplaced)
{
    RandomEngine random(1);
    RetryBudget budget(retryLimits);
    SessionSimulation simulation(true, budget, random);
    simulation.handle(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}});
    simulation.handle(TokenReceived{{1, 1, 1}, 1, 0, textOf(0)});
    simulation.now = simulation.session.nextTick();
    const auto probing = simulation.session.handle(StreamTick{}, simulation.now);
    LONGS_EQUAL(1, probing.size());
    CHECK(std::holds_alternative<ProbeUpstream>(probing.front()));
    const auto resuming = simulation.session.handle(ProbeAnswered{1, true}, simulation.now);
    LONGS_EQUAL(2, resuming.size());
    CHECK(std::get<OpenAttempt>(resuming.back()).resumes);
    LONGS_EQUAL(1, std::get<OpenAttempt>(resuming.back()).firstToken);
    simulation.now += std::chrono::minutes(1);
    simulation.session.handle(StreamTick{}, simulation.now);
    const auto failing = simulation.session.handle(ProbeAnswered{2, false}, simulation.now);
    CHECK(std::holds_alternative<SuspectUpstream>(failing.front()));
}

// Guards against an upstream that continues to work for a caller who will not reconnect.
TEST(StreamSessionTest, CallerWhoLeavesCancelsTheAttempt)
{
    RandomEngine random(1);
    RetryBudget budget(retryLimits);
    StreamSession session(makeRequest(true), {}, budget, random);
    session.start(TimePoint{});
    session.handle(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}}, TimePoint{});
    const auto actions = session.handle(CallerLeft{false}, TimePoint{});
    LONGS_EQUAL(3, actions.size());
    CHECK(std::holds_alternative<CloseConnection>(actions[0]));
    CHECK(std::get<CancelAttempt>(actions[1]).upstream == UpstreamId("u"));
    CHECK(std::get<Fail>(actions[2]).kind == ErrorKind::Cancelled);
}

// Guards against memory that grows with the tokens in flight when reading pauses, and against losing the tokens that are dropped to prevent this.
TEST(StreamSessionTest, TokensBeyondTheBufferAreDroppedAndRequestedAgain)
{
    RandomEngine random(1);
    RetryBudget budget(retryLimits);
    StreamSession session(makeRequest(true), smallLimits(), budget, random);
    session.start(TimePoint{});
    session.handle(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}}, TimePoint{});
    for (std::uint32_t index = 0; index < answerTokens; ++index) {
        session.handle(TokenReceived{{1, 1, 1}, 1, index, textOf(index)}, TimePoint{});
        CHECK(session.bufferedBytes() <= smallLimits().maxBytes + textOf(0).size());
    }
    const auto actions = session.handle(CallerReady{}, TimePoint{});
    LONGS_EQUAL(2, actions.size());
    const auto &delivery = std::get<Deliver>(actions.front());
    CHECK(std::get<OpenAttempt>(actions.back()).resumes);
    LONGS_EQUAL(delivery.firstToken + delivery.count, std::get<OpenAttempt>(actions.back()).firstToken);
    LONGS_EQUAL(0, budget.retries());
}
