#include "Experiment/Workload.h"

#include "Base/RandomEngine.h"
#include "Experiment/Scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Mangofall::Experiment {

namespace {

constexpr double outputSpread = 0.6;
constexpr std::uint64_t leastTokens = 64;
constexpr double maxOutputFactor = 2.5; // Of the mean.

std::uint64_t drawTokens(RandomEngine &random, double mean, double spread, double most)
{
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<double> length(std::log(mean) - spread * spread / 2, spread);
    return std::max(leastTokens, static_cast<std::uint64_t>(std::min(length(random), most)));
}

double burstFactor(const Scenario &scenario, std::size_t kind, Duration at)
{
    double factor = 1;
    for (const Burst &burst : scenario.bursts) {
        if (burst.kind == kind && at >= burst.start && at < burst.start + burst.length) {
            factor *= burst.factor;
        }
    }
    return factor;
}

double largestFactor(const Scenario &scenario, std::size_t kind)
{
    double largest = 1;
    for (const Burst &burst : scenario.bursts) {
        largest = burst.kind == kind ? std::max(largest, burst.factor) : largest;
    }
    return largest;
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
    // Arrivals at the highest rate are thinned to the rate of their moment.
    const double highest = largestFactor(scenario, index);
    std::exponential_distribution<double> gap(kind.perSecond * highest);
    std::uniform_int_distribution<std::size_t> host(0, scenario.hosts - 1);
    std::discrete_distribution<std::size_t> organisation = organisationDistribution(scenario.organisations);
    Duration at{};
    while ((at += toDuration(Seconds(gap(random)))) < scenario.length) {
        PromptRequest request;
        request.kind = index;
        request.host = host(random);
        request.organisation = organisation(random);
        request.arrival = at;
        request.promptTokens = drawTokens(random, kind.meanPromptTokens, kind.promptSpread, kind.maxPromptTokens);
        request.outputTokens = drawTokens(random, kind.meanOutputTokens, outputSpread, kind.meanOutputTokens * maxOutputFactor);
        if (std::bernoulli_distribution(burstFactor(scenario, index, at) / highest)(random)) {
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
