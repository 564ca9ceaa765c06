#include "Experiment/Workload.h"

#include "Base/RandomEngine.h"
#include "Experiment/Scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Mangofall::Experiment {

namespace {

constexpr double outputLogDeviation = 0.6; // Standard deviation of the natural logarithm of the number of output tokens.
constexpr std::uint64_t minTokens = 64;
constexpr double maxOutputFactor = 2.5; // Bound on the number of output tokens, as a multiple of the mean.

std::uint64_t drawTokens(RandomEngine &random, double mean, double logDeviation, double maxTokens)
{
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<double> length(std::log(mean) - logDeviation * logDeviation / 2, logDeviation);
    return std::max(minTokens, static_cast<std::uint64_t>(std::min(length(random), maxTokens)));
}

double burstFactor(const Scenario &scenario, std::size_t kind, Duration time)
{
    double factor = 1;
    for (const Burst &burst : scenario.bursts) {
        if (burst.kind == kind && time >= burst.start && time < burst.start + burst.duration) {
            factor *= burst.factor;
        }
    }
    return factor;
}

double maxBurstFactor(const Scenario &scenario, std::size_t kind)
{
    double maxFactor = 1;
    for (const Burst &burst : scenario.bursts) {
        maxFactor = burst.kind == kind ? std::max(maxFactor, burst.factor) : maxFactor;
    }
    return maxFactor;
}

// The first organisation sends twice as much as the second, three times as much as the third and so on.
std::discrete_distribution<std::size_t> organisationDistribution(std::size_t count)
{
    std::vector<double> weights;
    weights.reserve(count);
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank));
    }
    return {weights.begin(), weights.end()};
}

void addArrivals(const Scenario &scenario, std::size_t index, RandomEngine &random, std::vector<PromptRequest> &requests)
{
    const PromptKind &kind = scenario.kinds[index];
    // Draws arrivals at the highest rate of the scenario and keeps each with the probability that yields the rate at its time (thinning).
    const double maxFactor = maxBurstFactor(scenario, index);
    std::exponential_distribution<double> interarrivalTime(kind.perSecond * maxFactor);
    std::uniform_int_distribution<std::size_t> host(0, scenario.hosts - 1);
    std::discrete_distribution<std::size_t> organisation = organisationDistribution(scenario.organisations);
    Duration time{};
    while ((time += toDuration(Seconds(interarrivalTime(random)))) < scenario.duration) {
        PromptRequest request;
        request.kind = index;
        request.host = host(random);
        request.organisation = organisation(random);
        request.arrival = time;
        request.promptTokens = drawTokens(random, kind.meanPromptTokens, kind.promptLogDeviation, kind.maxPromptTokens);
        request.outputTokens = drawTokens(random, kind.meanOutputTokens, outputLogDeviation, kind.meanOutputTokens * maxOutputFactor);
        if (std::bernoulli_distribution(burstFactor(scenario, index, time) / maxFactor)(random)) {
            requests.push_back(request);
        }
    }
}

}

std::vector<PromptRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed)
{
    RandomEngine random(seed);
    std::vector<PromptRequest> requests;
    for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
        addArrivals(scenario, kind, random, requests);
    }
    std::stable_sort(requests.begin(), requests.end(), [](const PromptRequest &left, const PromptRequest &right) {
        return left.arrival < right.arrival;
    });
    return requests;
}

}
