#include "Experiment/CreditReport.h"

#include "Experiment/Scenario.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace Mangofall::Experiment {

namespace {

// Long prompts earn more, up to this many times the credit of their kind; an output token counts like ten prompt tokens.
constexpr double largestCreditFactor = 4;
constexpr double baseCreditShare = 0.3;
constexpr double outputTokenWeight = 10;
constexpr std::size_t sizeClasses = 10;
constexpr std::size_t leastShareOfOrganisation = 20;

// Waiting costs callers nothing up to this share of the target, and the request's whole credit from this share of the deadline on.
constexpr double harmlessShareOfTarget = 0.125;
constexpr double fullShareOfDeadline = 0.75;

using Filter = std::function<bool(const PromptRequest &)>;

double size(const PromptRequest &request)
{
    return static_cast<double>(request.promptTokens) + outputTokenWeight * static_cast<double>(request.outputTokens);
}

double meanSize(const std::vector<PromptRequest> &requests, std::size_t kind)
{
    double total = 0;
    double count = 0;
    for (const PromptRequest &request : requests) {
        if (request.kind == kind) {
            total += size(request);
            ++count;
        }
    }
    return count > 0 ? total / count : 1;
}

bool isOnTime(const PromptRequest &request, const PromptKind &kind)
{
    return request.completed && request.firstEventReceived <= kind.target && request.longestPause <= kind.pauseLimit;
}

double heldShare(const PromptRequest &request, const PromptKind &kind)
{
    if (request.completed || request.offered) {
        return 0;
    }
    const double harmless = harmlessShareOfTarget * Seconds(kind.target).count();
    const double full = fullShareOfDeadline * Seconds(kind.deadline).count();
    return std::clamp((Seconds(request.held).count() - harmless) / (full - harmless), 0.0, 1.0);
}

CreditShare share(const Scenario &scenario, const std::vector<PromptRequest> &requests, const std::vector<double> &meanSizes, const Filter &belongs)
{
    CreditShare result;
    double owed = 0;
    double earned = 0;
    double held = 0;
    std::size_t served = 0;
    std::size_t onTime = 0;
    for (const PromptRequest &request : requests) {
        if (!belongs(request)) {
            continue;
        }
        const PromptKind &kind = scenario.kinds[request.kind];
        const double factor = std::min(baseCreditShare + (1 - baseCreditShare) * size(request) / meanSizes[request.kind], largestCreditFactor);
        const bool punctual = isOnTime(request, kind);
        ++result.requests;
        owed += factor * kind.credit;
        earned += punctual ? factor * kind.credit : request.completed ? factor * kind.lateCredit : 0;
        held += heldShare(request, kind) * factor * kind.credit;
        served += request.completed ? 1 : 0;
        onTime += punctual ? 1 : 0;
    }
    if (result.requests > 0) {
        const auto count = static_cast<double>(result.requests);
        result.credit = earned / owed;
        result.heldInVain = held / owed;
        result.served = static_cast<double>(served) / count;
        result.onTime = static_cast<double>(onTime) / count;
    }
    return result;
}

/// The length from which a prompt belongs to the longest tenth of its kind.
std::uint64_t longestTenthFrom(const std::vector<PromptRequest> &requests, std::size_t kind)
{
    std::vector<std::uint64_t> lengths;
    for (const PromptRequest &request : requests) {
        if (request.kind == kind) {
            lengths.push_back(request.promptTokens);
        }
    }
    if (lengths.empty()) {
        return 0;
    }
    std::sort(lengths.begin(), lengths.end());
    return lengths[lengths.size() - 1 - lengths.size() / sizeClasses];
}

void keepWorse(std::optional<CreditShare> &worst, const CreditShare &candidate)
{
    if (candidate.requests > 0 && (!worst || candidate.credit < worst->credit)) {
        worst = candidate;
    }
}

}

CreditReport makeCreditReport(const Scenario &scenario, const std::vector<PromptRequest> &requests)
{
    std::vector<double> meanSizes;
    meanSizes.reserve(scenario.kinds.size());
    for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
        meanSizes.push_back(meanSize(requests, kind));
    }
    const auto shareOf = [&](const Filter &belongs) {
        return share(scenario, requests, meanSizes, belongs);
    };
    CreditReport report;
    report.all = shareOf([](const PromptRequest &) {
        return true;
    });
    for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
        report.kinds.push_back(shareOf([kind](const PromptRequest &request) {
            return request.kind == kind;
        }));
        report.longestTenths.push_back(shareOf([kind, from = longestTenthFrom(requests, kind)](const PromptRequest &request) {
            return request.kind == kind && request.promptTokens >= from;
        }));
    }
    std::optional<CreditShare> worstOrganisation;
    for (std::size_t organisation = 0; organisation < scenario.organisations; ++organisation) {
        const CreditShare candidate = shareOf([organisation](const PromptRequest &request) {
            return request.organisation == organisation;
        });
        if (candidate.requests * scenario.organisations * leastShareOfOrganisation >= requests.size()) {
            keepWorse(worstOrganisation, candidate);
        }
    }
    std::optional<CreditShare> worstDataCentre;
    for (std::size_t dataCentre = 0; dataCentre < scenario.dataCentres; ++dataCentre) {
        keepWorse(worstDataCentre, shareOf([&scenario, dataCentre](const PromptRequest &request) {
                      return request.host % scenario.dataCentres == dataCentre;
                  }));
    }
    report.worstOrganisation = worstOrganisation.value_or(report.all);
    report.worstDataCentre = worstDataCentre.value_or(report.all);
    return report;
}

}
