// CppUTest redefines new, which these headers use in other forms.
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

struct Load {
    std::uint64_t rate = 0;
    TimePoint end;
};

struct Call {
    int host = 0;
    std::uint64_t incarnation = 0;
    BudgetAction action;
    bool timedOut = false;
};

/// Hosts and the budget's key; a load runs to its end even if its host is lost.
struct Scene {
    explicit Scene(std::uint64_t seed)
        : random(seed)
    {
        for (int host = 0; host < hostCount; ++host) {
            restart(host);
        }
    }

    int below(std::uint32_t bound)
    {
        return static_cast<int>(random() % bound);
    }

    void restart(int host)
    {
        const auto index = static_cast<std::size_t>(host);
        WeightLoadBudgetSettings settings;
        settings.rateLimit = rateLimit;
        budgets[index] = std::make_unique<WeightLoadBudget>(HostId("host" + std::to_string(host)), ++incarnations[index], settings);
        wanted[index].clear();
    }

    void tell(int host, const BudgetEvent &event)
    {
        const auto index = static_cast<std::size_t>(host);
        for (const BudgetAction &action : budgets[index]->handle(event, now)) {
            if (const auto *start = std::get_if<StartWeightLoad>(&action)) {
                const WeightLoadWanted &load = wanted[index].at(start->id);
                loads.push_back({load.rate, now + load.duration});
                ++started;
            } else {
                calls.push_back({host, incarnations[index], action});
            }
        }
    }

    void want(int host)
    {
        const WeightLoadWanted load{++loadIds, static_cast<std::uint64_t>(20 + below(60)), seconds(1 + below(20))};
        wanted[static_cast<std::size_t>(host)][load.id] = load;
        tell(host, load);
    }

    /// Takes effect at the store; the answer is given unless the call has timed out or its host has restarted.
    void complete(std::size_t place, bool lost)
    {
        const Call call = calls[place];
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(place));
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
            tell(call.host, lost ? BudgetEvent(BudgetCallLost()) : answer);
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
    std::array<std::map<std::uint64_t, WeightLoadWanted>, hostCount> wanted;
    std::vector<Call> calls;
    std::vector<Load> loads;
    std::uint64_t version = 0;
    WeightLoadSlots slots;
    std::uint64_t loadIds = 0;
    int started = 0;
};

}

TEST_GROUP(WeightLoadBudgetTest){};

// Guards against loads that together exceed the weight store's rate, when store answers are slow or lost, writes take effect after their
// call has timed out, and hosts die during their loads.
TEST(WeightLoadBudgetTest, LoadsStayWithinRateLimit)
{
    int started = 0;
    Testing::checkProperty("the rate in use never exceeds the limit", [&] {
        Scene scene(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()));
        for (int step = 0; step < 1500; ++step) {
            const int host = scene.below(hostCount);
            const int choice = scene.below(40);
            if (choice < 20 && !scene.calls.empty()) {
                scene.complete(static_cast<std::size_t>(scene.below(static_cast<std::uint32_t>(scene.calls.size()))), choice == 0);
            } else if (choice == 20 && !scene.calls.empty()) {
                Call &call = scene.calls[static_cast<std::size_t>(scene.below(static_cast<std::uint32_t>(scene.calls.size())))];
                if (!call.timedOut && call.incarnation == scene.incarnations[static_cast<std::size_t>(call.host)]) {
                    call.timedOut = true;
                    scene.tell(call.host, BudgetCallLost());
                }
            } else if (choice < 23) {
                scene.want(host);
            } else if (choice == 23 && scene.below(5) == 0) {
                scene.restart(host);
            } else {
                scene.now += milliseconds(scene.below(choice == 24 ? 30'000 : 600));
                for (int other = 0; other < hostCount; ++other) {
                    scene.tell(other, BudgetTick());
                }
            }
            RC_ASSERT(scene.rateInUse() <= rateLimit);
        }
        started += scene.started;
    });
    CHECK_TEXT(started > 1000, "the runs must contain loads");
}

// Guards against a slot that stays taken after its load finished or its host was lost, and against a load that can never start.
TEST(WeightLoadBudgetTest, SlotsReturn)
{
    Scene scene(1);
    const auto settle = [&](seconds time) {
        for (seconds passed{0}; passed < time; passed += seconds(1)) {
            scene.now += seconds(1);
            for (int host = 0; host < hostCount; ++host) {
                scene.tell(host, BudgetTick());
            }
            while (!scene.calls.empty()) {
                scene.complete(0, false);
            }
        }
    };
    const WeightLoadWanted load{1, 60, seconds(20)};
    scene.wanted[0][1] = load;
    scene.wanted[1][1] = load;
    scene.tell(0, load);
    settle(seconds(3));
    scene.tell(1, load);
    settle(seconds(5));
    LONGS_EQUAL(1, scene.started);
    scene.tell(0, WeightLoadFinished{1});
    settle(seconds(5));
    LONGS_EQUAL(2, scene.started);
    scene.restart(1);
    scene.wanted[2][1] = load;
    scene.tell(2, load);
    settle(seconds(15));
    LONGS_EQUAL(2, scene.started);
    settle(seconds(20));
    LONGS_EQUAL(3, scene.started);
    WeightLoadBudget small(HostId("h"), 1, {.rateLimit = 10});
    CHECK(std::holds_alternative<RefuseWeightLoad>(small.handle(WeightLoadWanted{1, 11, seconds(1)}, scene.now).at(0)));
}
