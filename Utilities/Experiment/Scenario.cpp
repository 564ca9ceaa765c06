#include "Experiment/Scenario.h"

#include <utility>

namespace Mangofall::Experiment {

namespace {

using namespace std::chrono_literals;

// Prompt kinds, engine figures and rates of the deployments that users of the platform describe (docs/decisions/placing-by-pause-limits.md).
Scenario baseScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.engine = {16, 405'000, 34, 2048, 1.31, 0.000917, 0.00213, 154, 0.162};
    scenario.engines = 18;
    scenario.hosts = 9;
    scenario.dataCentres = 3;
    scenario.organisations = 10;
    scenario.coldRequestsPerSecond = 26;
    scenario.coldTime = 3s;
    scenario.duration = 34s;
    scenario.kinds = {
        {"short", 36, 4'960, 0.9, 23'800, 1'309, 300ms, 250ms, 10s, 1.3, 0.33},
        {"middle", 2.01, 45'000, 0.5, 110'000, 785, 1500ms, 600ms, 10s, 3.9, 0.97},
        {"long", 0.935, 182'000, 0.55, 900'000, 653, 3s, 1s, 15s, 24, 6.1},
    };
    return scenario;
}

enum Kind : std::size_t {
    Short,
    Middle,
    Long,
};

// The mix alternates between mostly long and mostly short prompts about every ten seconds, as on busy days of the users.
Scenario swingingMix()
{
    Scenario scenario = baseScenario("swinging-mix");
    for (const Duration start : {Duration(2s), Duration(23s)}) {
        scenario.bursts.push_back({Short, 0.36, start, 9500ms});
        scenario.bursts.push_back({Middle, 1.3, start, 9500ms});
        scenario.bursts.push_back({Long, 2.8, start, 9500ms});
    }
    scenario.bursts.push_back({Short, 2.5, 12500ms, 9500ms});
    scenario.bursts.push_back({Middle, 0.5, 12500ms, 9500ms});
    scenario.bursts.push_back({Long, 0.05, 12500ms, 9500ms});
    return scenario;
}

// Phases of mostly long, mostly short and mostly long prompts on engines with little memory, so that many long prompts exceed the memory of one engine.
Scenario longPhases()
{
    Scenario scenario = baseScenario("long-phases");
    scenario.engine = {12, 232'000, 48, 2048, 1.02, 0.00226, 0.00431, 206, 0.138};
    scenario.engines = 60;
    scenario.hosts = 60;
    scenario.duration = 32s;
    scenario.kinds = {
        {"short", 99.8, 4'960, 0.9, 23'800, 1'488, 300ms, 250ms, 10s, 1.3, 0.33},
        {"middle", 6.8, 45'000, 0.5, 110'000, 864, 1500ms, 600ms, 10s, 3.3, 0.83},
        {"long", 3.22, 190'000, 0.55, 900'000, 720, 3s, 1s, 15s, 20, 5.1},
    };
    for (const Duration start : {Duration(2s), Duration(21s)}) {
        scenario.bursts.push_back({Short, 0.31, start, 9500ms});
        scenario.bursts.push_back({Middle, 1.3, start, 9500ms});
        scenario.bursts.push_back({Long, 2.9, start, 9500ms});
    }
    scenario.bursts.push_back({Short, 2.5, 11500ms, 9500ms});
    scenario.bursts.push_back({Middle, 0.5, 11500ms, 9500ms});
    scenario.bursts.push_back({Long, 0.05, 11500ms, 9500ms});
    return scenario;
}

Scenario longPromptsDoubled()
{
    Scenario scenario = baseScenario("long-doubled");
    scenario.bursts.push_back({Long, 2, 0s, scenario.duration});
    return scenario;
}

Scenario shortBurst()
{
    Scenario scenario = baseScenario("short-burst");
    scenario.bursts.push_back({Short, 3, 10s, 5s});
    return scenario;
}

// For 12 s, more work than the engines can do, so that the result depends on the order of the waiting requests and on the refusals.
Scenario overload()
{
    Scenario scenario = baseScenario("overload");
    scenario.bursts.push_back({Short, 3, 8s, 12s});
    scenario.bursts.push_back({Middle, 3, 8s, 12s});
    scenario.bursts.push_back({Long, 4, 8s, 12s});
    return scenario;
}

// Four times the usual rate of requests during the whole scenario; most requests cannot be served.
Scenario fourTimes()
{
    Scenario scenario = baseScenario("four-times");
    for (const Kind kind : {Short, Middle, Long}) {
        scenario.bursts.push_back({kind, 4, Duration::zero(), scenario.duration});
    }
    return scenario;
}

// Engines of a data centre fail together and are cold after their restart.
Scenario engineLosses()
{
    Scenario scenario = baseScenario("engine-losses");
    scenario.losses.push_back({3, 0, 6s, 4s});
    scenario.losses.push_back({6, 1, 16s, 4500ms});
    return scenario;
}

}

std::vector<Scenario> standardScenarios()
{
    return {baseScenario("steady"), swingingMix(), longPhases(), longPromptsDoubled(), shortBurst(), overload(), fourTimes(), engineLosses()};
}

}
