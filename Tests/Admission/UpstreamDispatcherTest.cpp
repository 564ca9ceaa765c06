// Included before CppUTest redefines new, because std::variant uses placement new.
#include "Admission/UpstreamDispatcher.h"

#include "Property.h"

#include <map>
#include <vector>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

UpstreamSpec makeSpec()
{
    UpstreamSpec spec;
    spec.id = UpstreamId("u");
    spec.maxRequests = 8;
    spec.maxPrefillTokens = 60'000;
    spec.coldPrefillTokens = 8'000;
    spec.memoryTokens = 100'000;
    return spec;
}

/// Sends random events to a dispatcher and checks each action against counts that it keeps itself.
class RandomRun
{
public:
    RandomRun()
        : m_dispatcher(makeSpec(), preset())
    {
    }

    static Preset preset()
    {
        Preset preset;
        preset.queueLimit = 12;
        return preset;
    }

    void step()
    {
        m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        const int kind = *rc::gen::inRange(0, 100);
        if (kind < 40) {
            enqueue();
        } else if (kind < 75) {
            progress(kind);
        } else if (kind < 82) {
            report();
        } else if (kind < 85) {
            apply(DispatcherEvent::Tick{});
        } else {
            change(*rc::gen::inRange(0, 13));
        }
    }

    /// Ends all attempts and checks that each has ended exactly once.
    void finish()
    {
        apply(DispatcherEvent::ReturnedToService{});
        m_now += 1h;
        apply(DispatcherEvent::Tick{});
        while (!m_sent.empty()) {
            end(DispatcherEvent::Finished{{0, 0, m_sent.begin()->first}});
        }
        for (const auto &[sequence, ends] : m_ends) {
            RC_ASSERT(ends == 1);
        }
        RC_ASSERT(m_dispatcher.inFlight().size() == 0U);
        RC_ASSERT(m_dispatcher.inFlight().prefillTokens() == 0U);
        RC_ASSERT(m_dispatcher.inFlight().promptTokens() == 0U);
    }

private:
    struct Sent {
        std::uint64_t prefillTokens = 0;
    };

    void enqueue()
    {
        QueuedAttempt attempt;
        attempt.attempt.sequence = ++m_sequence;
        attempt.organisation = OrganisationId(std::to_string(*rc::gen::inRange(0, 3)));
        attempt.lengthClass = static_cast<LengthClass>(*rc::gen::inRange(0, 3));
        constexpr PerClass<std::uint64_t> largest = {5'000, 30'000, 70'000};
        attempt.promptTokens = *rc::gen::inRange<std::uint64_t>(0, largest[indexOf(attempt.lengthClass)]);
        attempt.uncachedTokens = attempt.promptTokens;
        attempt.arrival = m_now;
        attempt.deadline = m_now + std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
        m_tokens[m_sequence] = attempt.promptTokens;
        m_ends[m_sequence] = 0;
        apply(DispatcherEvent::Enqueued{attempt});
    }

    void progress(int kind)
    {
        if (m_sequence == 0) {
            return;
        }
        if (kind < 45) {
            apply(DispatcherEvent::CancelRequested{{0, 0, *rc::gen::inRange<std::uint64_t>(1, m_sequence + 1)}});
            return;
        }
        if (!m_formerOwnerPrompts.empty() && kind < 50) {
            m_formerOwnerPrompts.erase(m_formerOwnerPrompts.begin());
            return;
        }
        if (m_sent.empty()) {
            return;
        }
        const AttemptId attempt{0, 0, std::next(m_sent.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(m_sent)))->first};
        if (kind < 60) {
            m_sent[attempt.sequence].prefillTokens = 0;
            apply(DispatcherEvent::FirstToken{attempt});
        } else if (kind < 72) {
            end(DispatcherEvent::Finished{attempt});
        } else {
            end(DispatcherEvent::Failed{attempt,
                                        *rc::gen::element(DispatcherEvent::Failure::RefusedBeforeWork,
                                                          DispatcherEvent::Failure::ConnectionRefused,
                                                          DispatcherEvent::Failure::Interrupted)});
        }
    }

    /// Ends the attempt at the upstream. The end of a finished attempt is counted here, that of a failed one at the Refuse action.
    template<class Event>
    void end(const Event &event)
    {
        m_sent.erase(event.attempt.sequence);
        if constexpr (std::is_same_v<Event, DispatcherEvent::Finished>) {
            ++m_ends[event.attempt.sequence];
        }
        apply(event);
    }

    void report()
    {
        const Duration lag = std::chrono::milliseconds(*rc::gen::inRange(0, 1'500));
        std::uint32_t running = 0;
        for (const auto &[time, count] : m_runningCounts) {
            running = time <= m_now - lag ? count : running;
        }
        const bool becomesKnown = m_formerOwnerDead && m_now - lag >= m_formerOwnerDiedAt && m_formerOwnerPrompts.empty();
        apply(DispatcherEvent::LoadReported{m_epoch, m_now - TimePoint(), running, 0, lag});
        m_maybeKnown = m_maybeKnown || becomesKnown;
    }

    void change(int kind)
    {
        switch (kind) {
        case 0:
            ++m_epoch;
            break;
        case 1:
            apply(DispatcherEvent::Unresponsive{});
            break;
        case 2:
            apply(DispatcherEvent::TakenOutOfService{});
            break;
        case 3:
            apply(DispatcherEvent::UpstreamLeaving{});
            break;
        case 4:
            apply(DispatcherEvent::OwnershipReleased{});
            break;
        case 5:
        case 9:
        case 10:
        case 11:
            beginTakeover();
            break;
        case 6:
            if (!m_formerOwnerDead) {
                handOver();
            }
            break;
        case 7:
            m_formerOwnerDead = true;
            m_formerOwnerDiedAt = m_now;
            apply(DispatcherEvent::FormerOwnerDead{});
            break;
        case 8:
            apply(DispatcherEvent::ProbeSucceeded{});
            break;
        default:
            apply(DispatcherEvent::ReturnedToService{});
        }
    }

    /// Begins a takeover in which the former owner runs at most the attempts of its last load summary.
    void beginTakeover()
    {
        m_formerOwnerPrompts = *rc::gen::container<std::vector<std::uint64_t>>(*rc::gen::inRange<std::size_t>(0, 4), rc::gen::inRange<std::uint64_t>(0, 8'000));
        std::uint64_t tokens = 0;
        for (const std::uint64_t prompt : m_formerOwnerPrompts) {
            tokens += prompt;
        }
        m_formerOwnerDead = false;
        m_known = false;
        m_maybeKnown = false;
        apply(DispatcherEvent::TakeoverBegan{static_cast<std::uint32_t>(m_formerOwnerPrompts.size()), tokens});
    }

    void handOver()
    {
        HandOverMessage message{UpstreamId("u"), m_epoch, {8, 60'000}, {}};
        for (const std::uint64_t prompt : m_formerOwnerPrompts) {
            message.inFlight.push_back({{1, 0, ++m_formerOwnerSequence}, prompt});
        }
        m_known = true;
        apply(DispatcherEvent::HandOverReceived{message});
    }

    void apply(const DispatcherInput &event)
    {
        for (const DispatcherOutput &action : m_dispatcher.handle(m_now, event)) {
            if (const auto *send = std::get_if<DispatcherAction::Send>(&action)) {
                RC_ASSERT(m_ends[send->attempt.sequence] == 0);
                RC_ASSERT(m_sent.emplace(send->attempt.sequence, Sent{m_tokens[send->attempt.sequence]}).second);
                checkSend();
            } else if (const auto *refuse = std::get_if<DispatcherAction::Refuse>(&action)) {
                m_sent.erase(refuse->attempt.sequence);
                ++m_ends[refuse->attempt.sequence];
            } else if (const auto *returned = std::get_if<DispatcherAction::ReturnToEntry>(&action)) {
                ++m_ends[returned->attempt.sequence];
            } else if (const auto *cancel = std::get_if<DispatcherAction::CancelUpstream>(&action)) {
                RC_ASSERT(m_sent.contains(cancel->attempt.sequence));
            }
        }
        if (!m_known && !m_maybeKnown) {
            RC_ASSERT(m_dispatcher.summary().caps == (Caps{makeSpec().coldRequests, makeSpec().coldPrefillTokens}));
        }
        m_runningCounts.emplace_back(m_now, static_cast<std::uint32_t>(m_sent.size() + m_formerOwnerPrompts.size()));
        RC_ASSERT(m_dispatcher.inFlight().size() == m_sent.size());
    }

    void checkSend()
    {
        const LoadSummary summary = m_dispatcher.summary();
        RC_ASSERT(acceptsWork(summary.state));
        std::uint64_t requests = m_sent.size();
        std::uint64_t tokens = 0;
        for (const auto &[sequence, sent] : m_sent) {
            tokens += sent.prefillTokens;
        }
        RC_ASSERT(requests <= summary.caps.requests);
        RC_ASSERT(tokens <= summary.caps.prefillTokens);
        for (const std::uint64_t prompt : m_formerOwnerPrompts) {
            ++requests;
            tokens += prompt;
        }
        // Once the former owner's work is known, by its list or by its death and a report that agrees, it counts against the learned
        // caps; until then against the cold caps.
        const bool known = m_known || m_maybeKnown;
        const Caps bound = known ? summary.caps : Caps{makeSpec().coldRequests, makeSpec().coldPrefillTokens};
        RC_ASSERT(requests <= bound.requests);
        RC_ASSERT(tokens <= bound.prefillTokens);
    }

    UpstreamDispatcher m_dispatcher;
    TimePoint m_now;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_formerOwnerSequence = 0;
    std::map<std::uint64_t, std::uint64_t> m_tokens;
    std::map<std::uint64_t, int> m_ends;
    std::map<std::uint64_t, Sent> m_sent; ///< By sequence number.
    std::vector<std::uint64_t> m_formerOwnerPrompts; ///< Prefill tokens of the attempts that the former owner still runs.
    bool m_formerOwnerDead = false;
    TimePoint m_formerOwnerDiedAt;
    bool m_known = true;
    bool m_maybeKnown = false;
    std::vector<std::pair<TimePoint, std::uint32_t>> m_runningCounts;
};

}

TEST_GROUP(UpstreamDispatcherTest)
{
    TimePoint now;

    /// A load report of the upstream's first run, whose uptime follows the clock.
    static DispatcherInput report(TimePoint at, std::uint32_t running)
    {
        return DispatcherEvent::LoadReported{1, at - TimePoint(), running, 0, 0s};
    }

    static QueuedAttempt makeAttempt(std::uint64_t sequence, LengthClass lengthClass, std::uint64_t tokens)
    {
        QueuedAttempt attempt;
        attempt.attempt.sequence = sequence;
        attempt.lengthClass = lengthClass;
        attempt.promptTokens = tokens;
        attempt.uncachedTokens = tokens;
        attempt.deadline = TimePoint(1h);
        return attempt;
    }

    /// Runs \p count short prompts one after another, each for 100 ms.
    void warmUp(UpstreamDispatcher & dispatcher, std::uint64_t count)
    {
        for (std::uint64_t sequence = 1'000; sequence < 1'000 + count; ++sequence) {
            dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(sequence, LengthClass::Short, 1'000)});
            now += 100ms;
            dispatcher.handle(now, DispatcherEvent::FirstToken{{0, 0, sequence}});
            dispatcher.handle(now, DispatcherEvent::Finished{{0, 0, sequence}});
        }
    }
};

// Guards against sends above a cap or in a state that accepts no requests, against attempts that end never or twice, and against
// a takeover in which both owners together exceed the cold caps.
TEST(UpstreamDispatcherTest, RandomEventOrdersKeepCapsStatesAndEnds)
{
    Testing::checkProperty("caps, states, ends of attempts and takeovers are correct for any order of events", [] {
        RandomRun run;
        const int steps = *rc::gen::inRange(1, 300);
        for (int count = 0; count < steps; ++count) {
            run.step();
        }
        run.finish();
    });
}

// Guards against caps that grow although no attempt was completed.
TEST(UpstreamDispatcherTest, CapsNeverGrowOnReportsAlone)
{
    Testing::checkProperty("reports, ticks and health events never raise a cap", [] {
        UpstreamDispatcher dispatcher(makeSpec(), Preset{});
        TimePoint now;
        const int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 1'000));
            const auto running = *rc::gen::inRange<std::uint32_t>(0, 3);
            const auto event = *rc::gen::element<DispatcherInput>(DispatcherEvent::LoadReported{1, now - TimePoint(), running, 0, 0s},
                                                                  DispatcherEvent::Tick{},
                                                                  DispatcherEvent::ProbeSucceeded{},
                                                                  DispatcherEvent::Unresponsive{},
                                                                  DispatcherEvent::ReturnedToService{},
                                                                  DispatcherEvent::TakeoverBegan{running, 0},
                                                                  DispatcherEvent::FormerOwnerDead{});
            dispatcher.handle(now, event);
            RC_ASSERT(dispatcher.summary().caps == (Caps{makeSpec().coldRequests, makeSpec().coldPrefillTokens}));
        }
    });
}

// Guards against a takeover that stays at the cold caps although the former owner is known to be dead.
TEST(UpstreamDispatcherTest, TakeoverSettlesAfterDeathAndReport)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    TimePoint now;
    QueuedAttempt attempt;
    attempt.attempt.sequence = 1;
    attempt.deadline = now + 1h;
    dispatcher.handle(now, DispatcherEvent::TakeoverBegan{5, 40'000});
    CHECK(dispatcher.handle(now, DispatcherEvent::Enqueued{attempt}).empty());
    now += 1s;
    dispatcher.handle(now, DispatcherEvent::FormerOwnerDead{});
    CHECK(dispatcher.handle(now + 1s, DispatcherEvent::LoadReported{1, 1s, 0, 0, 2s}).size() <= 1);
    LONGS_EQUAL(0, dispatcher.inFlight().size());
    dispatcher.handle(now + 2s, DispatcherEvent::LoadReported{1, 2s, 0, 0, 1s});
    LONGS_EQUAL(1, dispatcher.inFlight().size());
}

// Guards against a full queue in which one organisation keeps out another one.
TEST(UpstreamDispatcherTest, FullQueueAdmitsAnOrganisationBelowItsShare)
{
    Preset preset;
    preset.queueLimit = 4;
    UpstreamDispatcher dispatcher(makeSpec(), preset);
    QueuedAttempt attempt;
    attempt.organisation = OrganisationId("large");
    attempt.deadline = TimePoint(1h);
    for (attempt.attempt.sequence = 1; attempt.attempt.sequence <= 6; ++attempt.attempt.sequence) {
        dispatcher.handle(TimePoint(), DispatcherEvent::Enqueued{attempt});
    }
    const auto full = dispatcher.handle(TimePoint(), DispatcherEvent::Enqueued{attempt});
    CHECK(std::get<DispatcherAction::Refuse>(full.at(0)).attempt == attempt.attempt);
    attempt.attempt.sequence = 8;
    attempt.organisation = OrganisationId("small");
    const auto evicted = dispatcher.handle(TimePoint(), DispatcherEvent::Enqueued{attempt});
    LONGS_EQUAL(6, std::get<DispatcherAction::Refuse>(evicted.at(0)).attempt.sequence);
    CHECK(std::get<DispatcherAction::Refuse>(evicted.at(0)).kind == ErrorKind::QueueFull);
    LONGS_EQUAL(4, dispatcher.summary().queuedRequests);
}

// Guards against sends that ignore requests which the upstream runs but this host does not know.
TEST(UpstreamDispatcherTest, UnexplainedRequestsTakeUpTheCap)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    dispatcher.handle(now, report(now, 2));
    LONGS_EQUAL(2, dispatcher.unknownRequests());
    CHECK(dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(1, LengthClass::Short, 10)}).empty());
    now += 10s;
    LONGS_EQUAL(1, dispatcher.handle(now, report(now, 0)).size());
    LONGS_EQUAL(1, dispatcher.inFlight().size());
}

// Guards against a request slot that stays in use when the upstream never confirms a cancel, and against freeing it too early.
TEST(UpstreamDispatcherTest, UnconfirmedCancelIsReleasedByReports)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(1, LengthClass::Short, 10)});
    dispatcher.handle(now, DispatcherEvent::CancelRequested{{0, 0, 1}});
    now += 3s;
    dispatcher.handle(now, report(now, 1));
    LONGS_EQUAL(1, dispatcher.inFlight().size());
    const auto released = dispatcher.handle(now, report(now, 0));
    CHECK_FALSE(released.empty());
    CHECK(std::get<DispatcherAction::Refuse>(released.back()).kind == ErrorKind::Cancelled);
    LONGS_EQUAL(0, dispatcher.inFlight().size());
}

// Guards against caps that do not shrink when the upstream becomes slow.
TEST(UpstreamDispatcherTest, LateFirstTokenShrinksTheCaps)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    warmUp(dispatcher, 40);
    const Caps before = dispatcher.summary().caps;
    LONGS_EQUAL(8, before.requests);
    dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(1, LengthClass::Short, 1'000)});
    now += 5s;
    dispatcher.handle(now, DispatcherEvent::FirstToken{{0, 0, 1}});
    const Caps after = dispatcher.summary().caps;
    CHECK(after.requests < before.requests && after.prefillTokens < before.prefillTokens);
    dispatcher.handle(now, DispatcherEvent::Finished{{0, 0, 1}});
    CHECK(dispatcher.summary().caps == after);
}

// Guards against medium prompts that wait as long as short ones arrive.
TEST(UpstreamDispatcherTest, MediumPromptOvertakesShortOnesAfterAProportionateWait)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
        dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(sequence, LengthClass::Short, 10)});
    }
    dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(3, LengthClass::Medium, 1'000)});
    now += 10s;
    QueuedAttempt late = makeAttempt(4, LengthClass::Short, 100);
    late.arrival = now - 100ms;
    dispatcher.handle(now, DispatcherEvent::Enqueued{late});
    const auto next = dispatcher.handle(now, DispatcherEvent::Finished{{0, 0, 1}});
    CHECK_FALSE(next.empty());
    LONGS_EQUAL(3, std::get<DispatcherAction::Send>(next.back()).attempt.sequence);
}

// Guards against a prefill cap that ignores the prompts of the former owner.
TEST(UpstreamDispatcherTest, FormerOwnersPromptsTakeUpThePrefillCap)
{
    UpstreamDispatcher dispatcher(makeSpec(), Preset{});
    dispatcher.handle(now, report(now, 2));
    dispatcher.handle(now, DispatcherEvent::TakeoverBegan{2, 50'000});
    dispatcher.handle(now, DispatcherEvent::HandOverReceived{{UpstreamId("u"), 1, {8, 60'000}, {{{1, 0, 1}, 20'000}, {{1, 0, 2}, 20'000}}}});
    LONGS_EQUAL(8, dispatcher.summary().caps.requests);
    dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(1, LengthClass::Medium, 15'000)});
    dispatcher.handle(now, DispatcherEvent::Enqueued{makeAttempt(2, LengthClass::Medium, 15'000)});
    LONGS_EQUAL(1, dispatcher.inFlight().size());
    dispatcher.handle(now, DispatcherEvent::Finished{{1, 0, 1}});
    dispatcher.handle(now, DispatcherEvent::Tick{});
    LONGS_EQUAL(2, dispatcher.inFlight().size());
}
