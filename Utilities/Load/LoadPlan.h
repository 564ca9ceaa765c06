#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Mangofall::Load {

/**
 * \class LoadOptions
 * \brief Options of a load run. Times and rates are in service time, which runs timeScale times faster than real time.
 */
struct LoadOptions {
    std::uint64_t seed = 1;
    std::uint32_t requests = 1000; ///< Maximum number of requests.
    Duration duration = std::chrono::seconds(60); ///< Arrivals stop after this time.
    double rate = 10; ///< Arrivals per second.
    double timeScale = 1;
    double medianTokens = 2000; ///< Median of the lognormal distribution of the prompts up to longTokens.
    double sigma = 1; ///< Standard deviation of the logarithm of these lengths.
    std::uint32_t minTokens = 16; ///< Shortest prompt.
    double longShare = 0.02; ///< Share of prompts longer than longTokens; their lengths are uniformly distributed up to maxTokens.
    std::uint32_t longTokens = 100'000;
    std::uint32_t maxTokens = 300'000;
    std::uint32_t sharedPrefixTokens = 0; ///< Length of the prefix that all prompts of one organisation share.
    std::uint32_t answerTokens = 16;
    double orderShare = 0; ///< Share of arrivals that are orders.
    std::vector<std::pair<std::string, std::string>> organisations; ///< Name and API key of each; if empty, no key is sent.
    std::vector<std::string> targets; ///< IP address and port of each, joined by a colon.
    std::string model = "m";
    std::string orderPath = "/orders";
    Duration timeout = std::chrono::seconds(120); ///< Time limit of each request, counted from its intended start.
    std::uint32_t maxInFlight = 2000; ///< Requests that arrive above this cap are counted but not sent.
    std::uint32_t orderTries = 3; ///< Maximum number of calls for one order, all with the same idempotency key, each to the next target.
};

/**
 * \class PlannedRequest
 * \brief A request to send at a given time.
 */
struct PlannedRequest {
    Duration at{0}; ///< Intended start in service time since the start of the run.
    std::uint32_t number = 0;
    std::uint32_t organisation = 0; ///< Index into LoadOptions::organisations.
    std::uint32_t target = 0; ///< Index into LoadOptions::targets.
    std::uint32_t promptTokens = 0;
    bool order = false;
};

/// Generates requests with Poisson arrivals. Equal options yield equal plans.
std::vector<PlannedRequest> makePlan(const LoadOptions &options);

/// Returns the prompt of \p request: the shared prefix of its organisation, then text unique to the seed and request number, with four bytes per token.
std::string makePrompt(const LoadOptions &options, const PlannedRequest &request);

}
