#include "Load/LoadPlan.h"

#include "Base/Hash.h"
#include "Base/RandomEngine.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Mangofall::Load {

namespace {

constexpr std::size_t bytesPerToken = 4;

std::uint32_t drawTokens(const LoadOptions &options, RandomEngine &random)
{
    if (std::bernoulli_distribution(options.longShare)(random)) {
        return std::uniform_int_distribution<std::uint32_t>(options.longTokens + 1, options.maxTokens)(random);
    }
    const double tokens = std::lognormal_distribution<double>(std::log(options.medianTokens), options.sigma)(random);
    return static_cast<std::uint32_t>(std::clamp(tokens, double(options.minTokens), double(options.longTokens)));
}

void appendGeneratedText(std::string &text, std::size_t size, std::string_view name)
{
    RandomEngine random(hash64(name));
    while (text.size() < size) {
        text += std::to_string(random()) + " ";
    }
    text.resize(size);
}

}

std::vector<PlannedRequest> makePlan(const LoadOptions &options)
{
    RandomEngine random(options.seed);
    std::exponential_distribution<double> gap(options.rate);
    std::vector<PlannedRequest> plan;
    Seconds at{gap(random)};
    while (plan.size() < options.requests && at < options.duration) {
        PlannedRequest request;
        request.at = toDuration(at);
        request.number = static_cast<std::uint32_t>(plan.size());
        request.order = std::bernoulli_distribution(options.orderShare)(random);
        request.promptTokens = drawTokens(options, random);
        // The first organisations send the most: an organisation's share is proportional to the reciprocal of its rank.
        std::vector<double> shares(std::max<std::size_t>(1, options.organisations.size()));
        for (std::size_t rank = 0; rank < shares.size(); ++rank) {
            shares[rank] = 1.0 / static_cast<double>(rank + 1);
        }
        request.organisation = std::discrete_distribution<std::uint32_t>(shares.begin(), shares.end())(random);
        request.target = std::uniform_int_distribution<std::uint32_t>(0, static_cast<std::uint32_t>(options.targets.size() - 1))(random);
        plan.push_back(request);
        at += Seconds{gap(random)};
    }
    return plan;
}

std::string makePrompt(const LoadOptions &options, const PlannedRequest &request)
{
    std::string prompt;
    const std::size_t size = request.promptTokens * bytesPerToken;
    appendGeneratedText(prompt, std::min(size, options.sharedPrefixTokens * bytesPerToken), "organisation " + std::to_string(request.organisation));
    appendGeneratedText(prompt, size, "request " + std::to_string(options.seed) + " " + std::to_string(request.number));
    return prompt;
}

}
