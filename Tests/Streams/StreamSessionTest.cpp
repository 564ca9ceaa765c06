// CppUTest redefines new, which the pcg header cannot bear; it comes first.
#include "Streams/StreamSession.h"

#include "Property.h"

#include <unordered_set>
#include <vector>

using namespace Mangofall;

namespace {

constexpr std::uint32_t allTokens = 40;
constexpr std::uint64_t foreignHost = 99;
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

/// Answers one session's actions with right, late, crossed, repeated and missing events, and checks each action.
class World
{
public:
    World(bool idempotent, RetryBudget &budget, RandomEngine &random)
        : m_idempotent(idempotent)
        , session(makeRequest(idempotent), smallLimits(), budget, random)
    {
        check(session.start(now));
    }

    void feed(const StreamEvent &event)
    {
        check(session.handle(event, now));
    }

    /// One random event; \p pick selects the connection, old ones included.
    void disturb(std::uint8_t kind, std::uint8_t pick)
    {
        now += std::chrono::milliseconds(pick);
        if (m_connections.empty() || kind % 16 == 0) {
            choose(pick % 8 != 0);
            return;
        }
        Connection &connection = m_connections[pick % 3 == 0 ? pick % m_connections.size() : m_connections.size() - 1];
        switch (kind % 16) {
        case 1:
            feed(ConnectionBroken{connection.attempt, connection.number});
            break;
        case 2:
            feed(ProbeAnswered{m_probe - pick % 2, pick % 4 != 0});
            break;
        case 3:
            feed(CallerReady{});
            break;
        case 4:
            if (session.nextTick() < session.request().deadline) {
                now = session.nextTick();
                feed(StreamTick{});
            }
            break;
        case 5:
            feed(TokenReceived{{foreignHost, 0, connection.attempt.sequence}, connection.number, m_delivered, "foreign"});
            break;
        case 6:
            feed(StreamCompleted{connection.attempt, connection.number, allTokens});
            break;
        case 7:
            if (connection.resumes) {
                feed(ResumeRejected{connection.attempt, connection.number});
            }
            break;
        case 8:
            leaveAndReturn(pick);
            break;
        default:
            answer(connection, kind % 16);
        }
    }

    /// Faultless service from here on.
    void cooperate()
    {
        for (int step = 0; step < 2000 && !session.ended(); ++step) {
            if (m_choicePending) {
                m_refuseNext = false;
                choose(true);
            } else if (m_open && !m_connections.back().refuses) {
                Connection &connection = m_connections.back();
                if (connection.cursor < allTokens) {
                    feed(TokenReceived{connection.attempt, connection.number, connection.cursor, textOf(connection.cursor)});
                    ++connection.cursor;
                } else {
                    feed(StreamCompleted{connection.attempt, connection.number, allTokens});
                }
            } else if (m_open) {
                answer(m_connections.back(), 0);
            } else if (m_probePending) {
                m_probePending = false;
                feed(ProbeAnswered{m_probe, true});
            } else if (session.nextTick() < session.request().deadline) {
                now = session.nextTick();
                feed(StreamTick{});
            }
            feed(CallerReady{});
        }
    }

    TimePoint now{};
    int ends = 0;
    bool finished = false;

private:
    struct Connection {
        AttemptId attempt;
        ConnectionNumber number = 0;
        std::uint32_t cursor = 0;
        bool resumes = false;
        bool refuses = false;
    };

    void choose(bool available)
    {
        if (!available) {
            feed(UpstreamUnavailable{m_choice, ErrorKind::NoUpstream});
            return;
        }
        m_choicePending = false;
        feed(UpstreamChosen{m_choice, UpstreamId("u" + std::to_string(m_choice)), {1, 1, m_choice}});
    }

    void answer(Connection &connection, std::uint8_t kind)
    {
        if (connection.refuses) {
            feed(AttemptRefused{connection.attempt, connection.number, ErrorKind::UpstreamRefused});
            return;
        }
        constexpr std::uint8_t repeated = 13;
        constexpr std::uint8_t skipping = 14;
        std::uint32_t index = connection.cursor;
        if (kind == repeated && index > 0) {
            --index;
        } else if (kind == skipping) {
            ++index;
        }
        if (index < allTokens) {
            connection.cursor = std::max(connection.cursor, index + 1);
            feed(TokenReceived{connection.attempt, connection.number, index, textOf(index)});
        }
    }

    void leaveAndReturn(std::uint8_t pick)
    {
        feed(CallerLeft{true});
        // The caller lacks at most the last delivery, which is within the replay limit or the session must fail.
        const std::uint32_t from = pick % 2 == 0 ? m_delivered : m_lastDelivery;
        m_delivered = from;
        feed(CallerReturned{from});
    }

    void check(const std::vector<StreamAction> &actions)
    {
        for (const StreamAction &action : actions) {
            RC_ASSERT(ends == 0);
            std::visit(
                [&](const auto &typed) {
                    on(typed);
                },
                action);
        }
        RC_ASSERT(session.heldBytes() <= smallLimits().maxBytes + smallLimits().replayBytes);
        RC_ASSERT(session.ended() == (ends == 1));
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
            m_written.insert(action.attempt);
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
        RC_ASSERT(action.tokens == allTokens);
        RC_ASSERT(m_delivered == allTokens);
        finished = true;
        ++ends;
    }

    void on(const Fail &action)
    {
        RC_ASSERT(!action.notRun || !mayHaveRun());
        ++ends;
    }

    bool mayHaveRun() const
    {
        return !m_written.empty();
    }

    bool m_idempotent;
    std::vector<Connection> m_connections;
    std::unordered_set<AttemptId> m_written; ///< Attempts of which a byte reached an upstream that did not refuse.
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

// Guards against foreign, repeated or missing text, a second answer, an unbounded buffer, an untrue "not run" and a second run of work that is
// not idempotent, whatever order events arrive in.
TEST(StreamSessionTest, DeliversAGapFreePrefixAndEndsOnce)
{
    Testing::checkProperty("any disturbance, then the deadline", [](const Steps &steps, bool idempotent, std::uint64_t seed) {
        RandomEngine random(seed);
        RetryBudget budget(retryLimits);
        World world(idempotent, budget, random);
        for (const auto &[kind, pick] : steps) {
            world.disturb(kind, pick);
        }
        world.now = std::max(world.now, world.session.request().deadline);
        world.feed(StreamTick{});
        RC_ASSERT(world.ends == 1);
        RC_ASSERT(budget.retries() <= static_cast<std::uint64_t>(retryLimits.reserve));
    });
}

// Guards against a session that never recovers after faults have stopped.
TEST(StreamSessionTest, FinishesOnceFaultsStop)
{
    Testing::checkProperty("a session that outlived the faults finishes", [](const Steps &steps, bool idempotent, std::uint64_t seed) {
        RandomEngine random(seed);
        RetryBudget budget({1, 1000, std::chrono::milliseconds(10), std::chrono::seconds(1)});
        World world(idempotent, budget, random);
        for (const auto &[kind, pick] : steps) {
            // An unavailable pool ends the session early.
            if (kind % 16 != 0 || pick % 8 != 0) {
                world.disturb(kind, pick);
            }
        }
        const bool endedEarly = world.session.ended();
        RC_CLASSIFY(endedEarly);
        world.cooperate();
        RC_ASSERT(world.ends == 1);
        RC_ASSERT(endedEarly || world.finished || !idempotent);
    });
}

// Guards against suspecting an upstream because one connection is stuck.
TEST(StreamSessionTest, StalledConnectionIsProbedAndReplaced)
{
    RandomEngine random(1);
    RetryBudget budget(retryLimits);
    World world(true, budget, random);
    world.feed(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}});
    world.feed(TokenReceived{{1, 1, 1}, 1, 0, textOf(0)});
    world.now = world.session.nextTick();
    const auto probing = world.session.handle(StreamTick{}, world.now);
    LONGS_EQUAL(1, probing.size());
    CHECK(std::holds_alternative<ProbeUpstream>(probing.front()));
    const auto resuming = world.session.handle(ProbeAnswered{1, true}, world.now);
    LONGS_EQUAL(2, resuming.size());
    CHECK(std::get<OpenAttempt>(resuming.back()).resumes);
    LONGS_EQUAL(1, std::get<OpenAttempt>(resuming.back()).firstToken);
    world.now += std::chrono::minutes(1);
    world.session.handle(StreamTick{}, world.now);
    const auto failing = world.session.handle(ProbeAnswered{2, false}, world.now);
    CHECK(std::holds_alternative<SuspectUpstream>(failing.front()));
}

// Guards against an upstream that works on for a caller who left for good.
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

// Guards against memory that grows with what was in flight when reading paused, and against losing the tokens dropped for it.
TEST(StreamSessionTest, FloodBehindSlowCallerIsDroppedAndFetchedAgain)
{
    RandomEngine random(1);
    RetryBudget budget(retryLimits);
    StreamSession session(makeRequest(true), smallLimits(), budget, random);
    session.start(TimePoint{});
    session.handle(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}}, TimePoint{});
    for (std::uint32_t index = 0; index < allTokens; ++index) {
        session.handle(TokenReceived{{1, 1, 1}, 1, index, textOf(index)}, TimePoint{});
        CHECK(session.heldBytes() <= smallLimits().maxBytes + textOf(0).size());
    }
    const auto actions = session.handle(CallerReady{}, TimePoint{});
    LONGS_EQUAL(2, actions.size());
    const auto &delivery = std::get<Deliver>(actions.front());
    CHECK(std::get<OpenAttempt>(actions.back()).resumes);
    LONGS_EQUAL(delivery.firstToken + delivery.count, std::get<OpenAttempt>(actions.back()).firstToken);
    LONGS_EQUAL(0, budget.retries());
}
