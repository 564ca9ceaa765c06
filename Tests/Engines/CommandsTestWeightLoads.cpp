// These headers come before Property.h: CppUTest defines new as a macro, and they use other forms of new.
#include "Base/RandomEngine.h"

#include <variant>

#include "Property.h"

#include "Engines/WeightLoadBudget.h"

#include <array>
#include <memory>

using namespace Mangofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int hostCount = 3;
constexpr std::uint64_t rateLimit = 100;

/// A started load, which uses its rate until its end.
struct Load {
    std::uint64_t rate = 0;
    TimePoint end;
};

/// A store call that has not taken effect yet.
struct Call {
    int host = 0;
    std::uint64_t incarnation = 0;
    BudgetAction action;
    bool timedOut = false;
};

/// Simulates the hosts and the budget's key in the store; a load runs to its end even if its host fails.
struct Simulation {
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {
        for (int host = 0; host < hostCount; ++host) {
            restart(host);
        }
    }

    int randomBelow(std::uint32_t bound)
    {
        return static_cast<int>(random() % bound);
    }

    void restart(int host)
    {
        const auto index = static_cast<std::size_t>(host);
        WeightLoadBudgetSettings settings;
        settings.rateLimit = rateLimit;
        budgets[index] = std::make_unique<WeightLoadBudget>(HostId("host" + std::to_string(host)), ++incarnations[index], settings);
        requestedLoads[index].clear();
    }

    void handleEvent(int host, const BudgetEvent &event)
    {
        const auto index = static_cast<std::size_t>(host);
        for (const BudgetAction &action : budgets[index]->handle(event, now)) {
            if (const auto *start = std::get_if<StartWeightLoad>(&action)) {
                const WeightLoadRequested &load = requestedLoads[index].at(start->id);
                loads.push_back({load.rate, now + load.duration});
                ++started;
            } else {
                calls.push_back({host, incarnations[index], action});
            }
        }
    }

    void requestLoad(int host)
    {
        const WeightLoadRequested load{++loadIds, static_cast<std::uint64_t>(20 + randomBelow(60)), seconds(1 + randomBelow(20))};
        requestedLoads[static_cast<std::size_t>(host)][load.id] = load;
        handleEvent(host, load);
    }

    /// Lets a call take effect at the store; its host gets the answer unless the call has timed out or the host has restarted.
    void complete(std::size_t index, bool lost)
    {
        const Call call = calls[index];
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
        BudgetEvent answer = BudgetRead{version, slots};
        if (const auto *write = std::get_if<WriteBudget>(&call.action)) {
            if (write->expectedVersion == version) {
                slots = write->slots;
                answer = BudgetWritten{++version};
            } else {
                answer = BudgetConflict();
            }
        }
        if (!call.timedOut && call.incarnation == incarnations[static_cast<std::size_t>(call.host)]) {
            handleEvent(call.host, lost ? BudgetEvent(BudgetCallLost()) : answer);
        }
    }

    std::uint64_t rateInUse() const
    {
        std::uint64_t total = 0;
        for (const Load &load : loads) {
            total += load.end > now ? load.rate : 0;
        }
        return total;
    }

    RandomEngine random;
    TimePoint now{seconds(1000)};
    std::array<std::unique_ptr<WeightLoadBudget>, hostCount> budgets;
    std::array<std::uint64_t, hostCount> incarnations{};
    std::array<std::map<std::uint64_t, WeightLoadRequested>, hostCount> requestedLoads;
    std::vector<Call> calls;
    std::vector<Load> loads;
    std::uint64_t version = 0;
    WeightLoadSlots slots;
    std::uint64_t loadIds = 0;
    int started = 0;
};

}

TEST_GROUP(WeightLoadBudgetTest){};

// Guards against loads that together exceed the weight store's rate limit: store answers are delayed or lost, writes take effect after
// their call has timed out, and hosts fail during their loads.
TEST(WeightLoadBudgetTest, LoadsStayWithinRateLimit)
{
    int started = 0;
    Testing::checkProperty("the rate in use never exceeds the limit", [&] {
        Simulation simulation(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()));
        for (int step = 0; step < 1500; ++step) {
            const int host = simulation.randomBelow(hostCount);
            const int choice = simulation.randomBelow(40);
            if (choice < 20 && !simulation.calls.empty()) {
                simulation.complete(static_cast<std::size_t>(simulation.randomBelow(static_cast<std::uint32_t>(simulation.calls.size()))), choice == 0);
            } else if (choice == 20 && !simulation.calls.empty()) {
                Call &call = simulation.calls[static_cast<std::size_t>(simulation.randomBelow(static_cast<std::uint32_t>(simulation.calls.size())))];
                if (!call.timedOut && call.incarnation == simulation.incarnations[static_cast<std::size_t>(call.host)]) {
                    call.timedOut = true;
                    simulation.handleEvent(call.host, BudgetCallLost());
                }
            } else if (choice < 23) {
                simulation.requestLoad(host);
            } else if (choice == 23 && simulation.randomBelow(5) == 0) {
                simulation.restart(host);
            } else {
                simulation.now += milliseconds(simulation.randomBelow(choice == 24 ? 30'000 : 600));
                for (int other = 0; other < hostCount; ++other) {
                    simulation.handleEvent(other, BudgetTick());
                }
            }
            RC_ASSERT(simulation.rateInUse() <= rateLimit);
        }
        started += simulation.started;
    });
    CHECK_TEXT(started > 1000, "the runs must contain loads");
}

// Guards against a slot that stays in use after its load has finished or its host has failed, and against a load that waits but can never start.
TEST(WeightLoadBudgetTest, SlotsReturn)
{
    Simulation simulation(1);
    const auto runFor = [&](seconds time) {
        for (seconds passed{0}; passed < time; passed += seconds(1)) {
            simulation.now += seconds(1);
            for (int host = 0; host < hostCount; ++host) {
                simulation.handleEvent(host, BudgetTick());
            }
            while (!simulation.calls.empty()) {
                simulation.complete(0, false);
            }
        }
    };
    const WeightLoadRequested load{1, 60, seconds(20)};
    simulation.requestedLoads[0][1] = load;
    simulation.requestedLoads[1][1] = load;
    simulation.handleEvent(0, load);
    runFor(seconds(3));
    simulation.handleEvent(1, load);
    runFor(seconds(5));
    LONGS_EQUAL(1, simulation.started);
    simulation.handleEvent(0, WeightLoadFinished{1});
    runFor(seconds(5));
    LONGS_EQUAL(2, simulation.started);
    simulation.restart(1);
    simulation.requestedLoads[2][1] = load;
    simulation.handleEvent(2, load);
    runFor(seconds(15));
    LONGS_EQUAL(2, simulation.started);
    runFor(seconds(20));
    LONGS_EQUAL(3, simulation.started);
    WeightLoadBudget small(HostId("h"), 1, {.rateLimit = 10});
    CHECK(std::holds_alternative<RefuseWeightLoad>(small.handle(WeightLoadRequested{1, 11, seconds(1)}, simulation.now).at(0)));
}
