// Included before CppUTest redefines new, because pcg and std::variant use placement new.
#include "Admission/FakeEngine.h"
#include "Base/RandomEngine.h"

#include "Property.h"

#include <cmath>
#include <functional>
#include <random>
#include <unordered_map>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 10ms;
constexpr double engineRate = 10'000;

struct Outcome {
    QueuedAttempt attempt;
    std::optional<TimePoint> finished;
    std::optional<ErrorKind> refused;

    bool inTime() const
    {
        return finished && *finished <= attempt.deadline;
    }
};

/// Runs one dispatcher with one fake engine in steps of 10 ms.
class Load
{
public:
    Load()
        : m_dispatcher(spec(), Preset{})
        , m_engine(engineRate, 200ms)
    {
    }

    static UpstreamSpec spec()
    {
        UpstreamSpec spec;
        spec.id = UpstreamId("u");
        return spec;
    }

    void enqueue(const std::string &organisation, LengthClass lengthClass, std::uint64_t tokens, Duration deadline)
    {
        QueuedAttempt attempt;
        attempt.attempt.sequence = outcomes.size();
        attempt.organisation = OrganisationId(organisation);
        attempt.promptTokens = tokens;
        attempt.uncachedTokens = tokens;
        attempt.lengthClass = lengthClass;
        attempt.arrival = now;
        attempt.deadline = now + deadline;
        outcomes.push_back({attempt, {}, {}});
        apply(DispatcherEvent::Enqueued{attempt});
    }

    /// Runs for \p duration; \p arrivals is called in each step.
    void run(Duration duration, const std::function<void()> &arrivals)
    {
        for (const TimePoint end = now + duration; now < end;) {
            now += step;
            for (const DispatcherInput &event : m_engine.run(now, step)) {
                apply(event);
            }
            arrivals();
            apply(DispatcherEvent::Tick{});
        }
    }

    LoadSummary summary() const
    {
        return m_dispatcher.summary();
    }

    TimePoint now;
    std::vector<Outcome> outcomes; ///< By sequence number.

private:
    void apply(const DispatcherInput &event)
    {
        if (const auto *finished = std::get_if<DispatcherEvent::Finished>(&event)) {
            outcomes[finished->attempt.sequence].finished = now;
        }
        for (const DispatcherOutput &action : m_dispatcher.handle(now, event)) {
            if (const auto *send = std::get_if<DispatcherAction::Send>(&action)) {
                m_engine.add(outcomes[send->attempt.sequence].attempt, send->enginePriority);
            } else if (const auto *refuse = std::get_if<DispatcherAction::Refuse>(&action)) {
                outcomes[refuse->attempt.sequence].refused = refuse->kind;
            }
        }
    }

    UpstreamDispatcher m_dispatcher;
    Testing::FakeEngine m_engine;
};

/// Enqueues short prompts of 1,000 tokens in \p load at \p loadFactor times the engine's prefill rate.
void offerShort(Load &load, RandomEngine &random, const std::string &organisation, double loadFactor, Duration deadline)
{
    const double mean = loadFactor * engineRate / 1'000 * Seconds(step).count();
    for (int count = std::poisson_distribution<int>(mean)(random); count > 0; --count) {
        load.enqueue(organisation, LengthClass::Short, 1'000, deadline);
    }
}

}

TEST_GROUP(DispatcherLoadTest){};

// Guards against a measured prefill rate that depends on the load or on partly processed long prompts.
TEST(DispatcherLoadTest, MeasuredRateConverges)
{
    Testing::checkProperty("the measured rate is within 20% of the engine's", [] {
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        const double loadFactor = *rc::gen::inRange(20, 150) / 100.0;
        const int longEvery = *rc::gen::inRange(400, 1'200);
        Load load;
        for (int part = 0; part < 6; ++part) {
            int steps = 0;
            load.run(12s, [&] {
                offerShort(load, random, "o", loadFactor, 10s);
                if (++steps % longEvery == 0) {
                    load.enqueue("o", LengthClass::Long, 100'000, 10min);
                }
            });
            RC_ASSERT(std::abs(load.summary().prefillRate / engineRate - 1) < 0.2);
        }
    });
}

// Guards against a long prompt that misses its deadline behind short ones although the engine could finish it in time.
TEST(DispatcherLoadTest, LongPromptFinishesByItsDeadlineUnderSaturation)
{
    Testing::checkProperty("a long prompt finishes by its deadline", [] {
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        const auto tokens = *rc::gen::inRange<std::uint64_t>(100'000, 300'000);
        const double loadFactor = *rc::gen::inRange(50, 200) / 100.0;
        Load load;
        const auto offer = [&] {
            offerShort(load, random, "short", loadFactor, 5s);
        };
        load.run(60s, offer);
        const std::size_t index = load.outcomes.size();
        load.enqueue("long", LengthClass::Long, tokens, toDuration(Seconds(4 * static_cast<double>(tokens) / engineRate)));
        load.run(130s, offer);
        RC_ASSERT(load.outcomes[index].inTime());
    });
}

// Guards against an organisation with excessive load that takes the share of a small one.
TEST(DispatcherLoadTest, SmallOrganisationKeepsItsShareUnderAFlood)
{
    Testing::checkProperty("at least 95% of a small organisation's prompts finish in time while another one exceeds the engine's rate", [] {
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        const double largeLoadFactor = *rc::gen::inRange(2, 10);
        Load load;
        load.run(60s, [&] {
            offerShort(load, random, "large", largeLoadFactor, 20s);
            offerShort(load, random, "small", 0.3, 20s);
        });
        std::size_t small = 0;
        std::size_t inTime = 0;
        for (const Outcome &outcome : load.outcomes) {
            const bool counts = outcome.attempt.organisation.value() == "small" && outcome.attempt.deadline <= load.now;
            small += counts ? 1U : 0U;
            inTime += counts && outcome.inTime() ? 1U : 0U;
        }
        RC_ASSERT(small > 0U);
        RC_ASSERT(static_cast<double>(inTime) >= 0.95 * static_cast<double>(small));
    });
}

// Guards against a metastable overload: delays or missed deadlines that persist after the load has returned to normal.
TEST(DispatcherLoadTest, RecoversAfterADoubledLoad)
{
    Testing::checkProperty("times and goodput return to normal after a doubled load", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        Load load;
        const auto phase = [&](RandomEngine &random, double loadFactor, Duration duration) {
            const std::size_t first = load.outcomes.size();
            load.run(duration, [&] {
                offerShort(load, random, "o", loadFactor, 5s);
            });
            return std::pair(first, load.outcomes.size());
        };
        // The arrivals before and after the overload are equal. A backlog of at most 5 s, the deadline, drains within 17 s at 70%
        // load.
        const auto normal = [&] {
            RandomEngine random(seed);
            phase(random, 0.7, 30s);
            return phase(random, 0.7, 60s);
        };
        const auto before = normal();
        RandomEngine random(seed + 1);
        const auto during = phase(random, 1.4, 60s);
        const auto after = normal();
        phase(random, 0, 10s);
        const auto figures = [&](std::pair<std::size_t, std::size_t> range) {
            double inTime = 0;
            Seconds time{0};
            for (std::size_t index = range.first; index < range.second; ++index) {
                const Outcome &outcome = load.outcomes[index];
                inTime += outcome.inTime() ? 1 : 0;
                time += outcome.finished.value_or(outcome.attempt.deadline) - outcome.attempt.arrival;
            }
            return std::pair(inTime / static_cast<double>(range.second - range.first), time.count() / static_cast<double>(range.second - range.first));
        };
        RC_LOG() << "goodput, mean time to the last token in s: before " << figures(before).first << ", " << figures(before).second << "; during "
                 << figures(during).first << ", " << figures(during).second << "; after " << figures(after).first << ", " << figures(after).second;
        RC_ASSERT(figures(during).first >= 0.6);
        RC_ASSERT(figures(after).first >= figures(before).first - 0.005);
        RC_ASSERT(figures(during).second >= 2 * figures(before).second);
        RC_ASSERT(figures(after).second <= 1.05 * figures(before).second);
    });
}
