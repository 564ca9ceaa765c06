// Compares the routing policies on a simple engine model. Each run replays the same arrivals (fixed seed) on 18 upstreams, through the production choosers
// of nine entry hosts and the production dispatchers. Engines prefill one prompt at a time, the highest priority first, either in chunks or whole. Decoding
// takes a fixed time per token in one of the upstream's slots and does not slow the prefill. Load summaries reach the hosts every 100 ms. A refused request
// counts as an infinite time to first token.

#include "Admission/UpstreamDispatcher.h"
#include "Base/RandomEngine.h"
#include "Routing/FirstTokenEstimator.h"
#include "Routing/LengthClassifier.h"
#include "Routing/LongShareAllocator.h"
#include "Routing/UpstreamChooser.h"
#include "Routing/UpstreamViewTable.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t upstreamCount = 18;
constexpr std::size_t hostCount = 9;
constexpr double enginePrefillRate = 20'000; // tokens per second
constexpr double offeredLoad = 0.7;
constexpr double longShare = 0.02;
constexpr std::uint64_t minLongTokens = 100'000;
constexpr std::uint64_t chunkTokens = 2'048;
constexpr Duration warmUpDuration = 5min;
constexpr Duration measuredDuration = 120min;
constexpr Duration drainDuration = 15min;
constexpr Duration summaryInterval = 100ms;

struct Request {
    TimePoint arrival;
    std::uint64_t tokens = 0;
    Duration decode{0};
    std::size_t host = 0;
    double firstToken = std::numeric_limits<double>::infinity(); // seconds after the arrival
    bool refused = false;
};

struct PolicySetting {
    Preset preset;
    RoutingPolicy chooser = RoutingPolicy::EstimatedFirstToken; // differs from the preset's policy only to separate the effects of chooser and dispatchers
    bool chunked = true;
};

double logUniform(RandomEngine &random, double low, double high)
{
    return low * std::pow(high / low, std::uniform_real_distribution<double>(0, 1)(random));
}

std::vector<Request> makeArrivals()
{
    RandomEngine random(seed);
    const double meanShort = 29'000 / std::log(30.0);
    const double meanLong = 900'000 / std::log(10.0);
    const double rate = offeredLoad * upstreamCount * enginePrefillRate / ((1 - longShare) * meanShort + longShare * meanLong);
    std::vector<Request> requests;
    for (TimePoint now; now < TimePoint(warmUpDuration + measuredDuration);) {
        now += toDuration(Seconds(std::exponential_distribution<double>(rate)(random)));
        const bool isLong = std::bernoulli_distribution(longShare)(random);
        Request request;
        request.arrival = now;
        request.tokens = static_cast<std::uint64_t>(isLong ? logUniform(random, minLongTokens, 1'000'000) : logUniform(random, 1'000, 30'000));
        request.decode = 25ms * std::uniform_int_distribution<int>(20, 200)(random);
        request.host = std::uniform_int_distribution<std::size_t>(0, hostCount - 1)(random);
        requests.push_back(request);
    }
    return requests;
}

struct Prompt {
    std::size_t request = 0;
    std::uint64_t remainingTokens = 0;
    int priority = 0;
};

struct Upstream {
    std::unique_ptr<UpstreamDispatcher> dispatcher;
    std::vector<Prompt> waiting; // by descending priority, then by arrival
    bool prefilling = false;
};

struct Host {
    std::unique_ptr<UpstreamChooser> chooser;
    FirstTokenEstimator estimator;
    LengthClassifier classifier;
    std::unique_ptr<LongShareAllocator> allocator;
    UpstreamViewTable views;
    RandomEngine random;
};

class Simulation
{
public:
    Simulation(const PolicySetting &setting, std::vector<Request> requests)
        : m_setting(setting)
        , m_requests(std::move(requests))
        , m_upstreams(upstreamCount)
        , m_hosts(hostCount)
    {
        Preset chooser = setting.preset;
        chooser.routing = setting.chooser;
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            UpstreamSpec spec;
            spec.id = UpstreamId(std::to_string(index));
            // More than any prompt: the engine model has no KV memory, and another module handles prompts that exceed the memory of one engine.
            spec.memoryTokens = 2'000'000;
            m_upstreams[index].dispatcher = std::make_unique<UpstreamDispatcher>(spec, setting.preset);
        }
        for (std::size_t index = 0; index < hostCount; ++index) {
            m_hosts[index].chooser = makeUpstreamChooser(chooser, m_hosts[index].estimator);
            m_hosts[index].allocator = std::make_unique<LongShareAllocator>(setting.preset.shortWeight, setting.preset.minLongShare);
            m_hosts[index].random.seed(seed + index);
        }
    }

    const std::vector<Request> &run()
    {
        m_events.emplace(TimePoint(), std::bind_front(&Simulation::tick, this));
        for (std::size_t index = 0; index < m_requests.size(); ++index) {
            m_events.emplace(m_requests[index].arrival, std::bind_front(&Simulation::arrive, this, index));
        }
        while (!m_events.empty()) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        return m_requests;
    }

private:
    void tick()
    {
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            apply(index, DispatcherEvent::Tick{});
            const UpstreamView view = toView(m_upstreams[index].dispatcher->summary());
            for (Host &host : m_hosts) {
                host.views.update(view);
            }
        }
        if (m_now < TimePoint(warmUpDuration + measuredDuration + drainDuration)) {
            m_events.emplace(m_now + summaryInterval, std::bind_front(&Simulation::tick, this));
        }
    }

    void arrive(std::size_t index)
    {
        Request &request = m_requests[index];
        Host &host = m_hosts[request.host];
        host.classifier.observe(m_now, request.tokens);
        host.allocator->assign(host.views.views(), host.classifier.longWorkShare());
        RequestProfile profile;
        profile.promptTokens = request.tokens;
        profile.lengthClass = host.classifier.classify(request.tokens);
        const auto chosen = host.chooser->choose(profile, host.views.views(), host.random);
        if (!chosen) {
            request.refused = true;
            return;
        }
        host.views.noteDispatch(*chosen, profile.lengthClass, request.tokens);
        QueuedAttempt attempt;
        attempt.attempt.sequence = index;
        attempt.promptTokens = request.tokens;
        attempt.uncachedTokens = request.tokens;
        attempt.lengthClass = profile.lengthClass;
        attempt.arrival = m_now;
        // With a short deadline, an upstream of a baseline policy that prefills a long prompt would refuse requests at once. It would then have few
        // requests in flight and so attract more.
        attempt.deadline = m_now + m_setting.preset.longDeadline;
        apply(std::stoul(chosen->value()), DispatcherEvent::Enqueued{attempt});
    }

    void apply(std::size_t upstream, const DispatcherInput &event)
    {
        for (const DispatcherOutput &action : m_upstreams[upstream].dispatcher->handle(m_now, event)) {
            if (const auto *send = std::get_if<DispatcherAction::Send>(&action)) {
                const std::size_t index = send->attempt.sequence;
                auto &waiting = m_upstreams[upstream].waiting;
                const auto position = std::ranges::upper_bound(waiting, send->enginePriority, std::greater(), &Prompt::priority);
                waiting.insert(position, {index, m_requests[index].tokens, send->enginePriority});
            } else if (const auto *refuse = std::get_if<DispatcherAction::Refuse>(&action)) {
                m_requests[refuse->attempt.sequence].refused = true;
            }
        }
        startChunk(upstream);
    }

    void startChunk(std::size_t upstream)
    {
        Upstream &engine = m_upstreams[upstream];
        if (engine.prefilling || engine.waiting.empty()) {
            return;
        }
        engine.prefilling = true;
        const Prompt &prompt = engine.waiting.front();
        const std::uint64_t tokens = m_setting.chunked ? std::min(prompt.remainingTokens, chunkTokens) : prompt.remainingTokens;
        const TimePoint end = m_now + toDuration(Seconds(static_cast<double>(tokens) / enginePrefillRate));
        m_events.emplace(end, std::bind_front(&Simulation::endChunk, this, upstream, prompt.request, tokens));
    }

    void endChunk(std::size_t upstream, std::size_t index, std::uint64_t tokens)
    {
        Upstream &engine = m_upstreams[upstream];
        engine.prefilling = false;
        const auto prompt = std::ranges::find(engine.waiting, index, &Prompt::request);
        prompt->remainingTokens -= tokens;
        if (prompt->remainingTokens > 0) {
            startChunk(upstream);
            return;
        }
        engine.waiting.erase(prompt);
        Request &request = m_requests[index];
        request.firstToken = Seconds(m_now - request.arrival).count();
        m_events.emplace(m_now + request.decode, std::bind_front(&Simulation::apply, this, upstream, DispatcherEvent::Finished{{0, 0, index}}));
        apply(upstream, DispatcherEvent::FirstToken{{0, 0, index}});
    }

    PolicySetting m_setting;
    std::vector<Request> m_requests;
    std::vector<Upstream> m_upstreams;
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_events; // events of equal time in the order of scheduling
    TimePoint m_now;
};

/// Prints the 95th percentiles of the time to first token by prompt tokens; returns those of all short and of all long prompts, in seconds.
std::pair<double, double> reportPercentiles(const std::string &name, const std::vector<Request> &requests)
{
    std::vector<double> columns;
    constexpr std::uint64_t bounds[][2] = {{0, 4'000}, {4'000, 30'001}, {0, 30'001}, {100'000, 300'000}, {300'000, 1'000'001}, {100'000, 1'000'001}};
    for (const auto &[low, high] : bounds) {
        std::vector<double> times;
        for (const Request &request : requests) {
            if (request.arrival >= TimePoint(warmUpDuration) && request.tokens >= low && request.tokens < high) {
                times.push_back(request.refused ? std::numeric_limits<double>::infinity() : request.firstToken);
            }
        }
        std::sort(times.begin(), times.end());
        columns.push_back(times.empty() ? 0.0 : times[times.size() * 95 / 100]);
    }
    const auto refused = std::count_if(requests.begin(), requests.end(), [](const Request &request) {
        return request.refused && request.arrival >= TimePoint(warmUpDuration);
    });
    std::printf("%-34s", name.c_str());
    for (const double column : columns) {
        std::printf("%9.2f", column);
    }
    std::printf("%9td\n", refused);
    return {columns[2], columns[5]};
}

}

int main()
{
    const std::vector<Request> allRequests = makeArrivals();
    std::vector<Request> onlyShort = allRequests;
    std::erase_if(onlyShort, [](const Request &request) {
        return request.tokens >= minLongTokens;
    });
    for (const bool chunked : {true, false}) {
        std::printf("p95 time to first token in s by prompt tokens; engines prefill %s\n", chunked ? "in chunks" : "whole prompts");
        std::printf("%-34s%9s%9s%9s%9s%9s%9s%9s\n", "policy", "<4k", "4k-30k", "short", "<300k", ">=300k", "long", "refused");
        PolicySetting setting;
        setting.chunked = chunked;
        const auto onlyShortResult = reportPercentiles("estimated, short traffic alone", Simulation(setting, onlyShort).run());
        std::pair<double, double> halfWeightResult;
        for (const double weight : {0.0, 0.25, 0.5, 0.75, 1.0}) {
            setting.preset.shortWeight = weight;
            const auto result = reportPercentiles("estimated, shortWeight " + std::to_string(weight).substr(0, 4), Simulation(setting, allRequests).run());
            halfWeightResult = weight == 0.5 ? result : halfWeightResult;
        }
        setting.preset.shortWeight = 0.5;
        setting.chooser = RoutingPolicy::LeastInFlight;
        reportPercentiles("least-in-flight, with classes", Simulation(setting, allRequests).run());
        setting.preset.routing = RoutingPolicy::LeastInFlight;
        const auto leastInFlightResult = reportPercentiles("least-in-flight", Simulation(setting, allRequests).run());
        setting.preset.routing = setting.chooser = RoutingPolicy::RoundRobin;
        const auto roundRobinResult = reportPercentiles("round-robin", Simulation(setting, allRequests).run());
        std::printf("shortWeight 0.50: short is %.2f times short alone; least-in-flight is %.2f times short; long is %.2f times the best baseline's\n\n",
                    halfWeightResult.first / onlyShortResult.first,
                    leastInFlightResult.first / halfWeightResult.first,
                    halfWeightResult.second / std::min(leastInFlightResult.second, roundRobinResult.second));
    }
    return EXIT_SUCCESS;
}
