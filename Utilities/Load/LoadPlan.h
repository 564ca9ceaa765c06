#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Mangofall::Load {

/**
 * \class LoadOptions
 * \brief What load to offer; times and rates are service time, which runs timeScale times faster than real time.
 */
struct LoadOptions {
    std::uint64_t seed = 1;
    std::uint32_t requests = 1000; ///< Upper bound.
    Duration duration = std::chrono::seconds(60); ///< Arrivals stop after this time.
    double rate = 10; ///< Arrivals per second.
    double timeScale = 1;
    double medianTokens = 2000; ///< Median of the lognormal body of prompt lengths.
    double sigma = 1; ///< Standard deviation of the logarithm of the body's lengths.
    std::uint32_t minTokens = 16;
    double longShare = 0.02; ///< Share of prompts over longTokens, uniformly distributed up to maxTokens.
    std::uint32_t longTokens = 100'000;
    std::uint32_t maxTokens = 300'000;
    std::uint32_t sharedPrefixTokens = 0; ///< Tokens with which all prompts of one organisation begin.
    std::uint32_t answerTokens = 16;
    double orderShare = 0;
    std::vector<std::pair<std::string, std::string>> organisations; ///< Name and key; empty sends no key.
    std::vector<std::string> targets; ///< IP address and port.
    std::string model = "m";
    std::string orderPath = "/orders";
    Duration timeout = std::chrono::seconds(120); ///< Per request, from the intended start.
    std::uint32_t maxInFlight = 2000; ///< Arrivals beyond it are counted and not sent.
    std::uint32_t orderTries = 3; ///< Calls with one idempotency key, each to the next target.
};

/**
 * \class PlannedRequest
 * \brief One arrival.
 */
struct PlannedRequest {
    Duration at{0}; ///< After the start of the run, in service time.
    std::uint32_t number = 0;
    std::uint32_t organisation = 0; ///< Index into the organisations.
    std::uint32_t target = 0; ///< Index into the targets.
    std::uint32_t promptTokens = 0;
    bool order = false;
};

/// Poisson arrivals; equal options yield equal plans.
std::vector<PlannedRequest> makePlan(const LoadOptions &options);

/// The prompt of \p request: its organisation's shared prefix, then text unique to seed and number, four bytes per token.
std::string makePrompt(const LoadOptions &options, const PlannedRequest &request);

}
