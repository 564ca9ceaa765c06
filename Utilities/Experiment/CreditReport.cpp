#include "Experiment/CreditReport.h"

#include "Experiment/Scenario.h"
#include "Placement/EngineRules.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace Mangofall::Experiment {

namespace {

// The credit of a request grows with its size, from baseCreditShare up to maxCreditFactor times the credit of its kind. An output token counts as much as
// ten prompt tokens.
constexpr double maxCreditFactor = 4;
constexpr double baseCreditShare = 0.3;
constexpr double outputTokenWeight = 10;
constexpr std::size_t lengthGroups = 10; // The longest tenth of the prompts of a kind is reported by itself.
constexpr std::size_t minOrganisationSizeDivisor = 20; // Organisations with less than a twentieth of the mean number of requests are not compared.

// The wait of a request that gets no assignment within its target counts as no loss up to freeWaitShareOfTarget of its target, and as the loss of its whole
// credit from fullLossShareOfDeadline of its deadline on.
constexpr double freeWaitShareOfTarget = 0.125;
constexpr double fullLossShareOfDeadline = 0.75;

using Filter = std::function<bool(const PromptRequest &)>;

/// The 99th percentile; 0 if there are no \p values.
double percentile99(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) * 99 / 100);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

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
    return request.completed && request.firstEventDelay <= kind.target && request.longestPause <= kind.pauseLimit;
}

double lostWaitingShare(const PromptRequest &request, const PromptKind &kind)
{
    if (request.completed || request.assignedWithinTarget) {
        return 0;
    }
    const double freeWait = freeWaitShareOfTarget * Seconds(kind.target).count();
    const double fullLoss = fullLossShareOfDeadline * Seconds(kind.deadline).count();
    return std::clamp((Seconds(request.waitTime).count() - freeWait) / (fullLoss - freeWait), 0.0, 1.0);
}

GroupResult groupResult(const Scenario &scenario, const std::vector<PromptRequest> &requests, const std::vector<double> &meanSizes, const Filter &inGroup)
{
    GroupResult result;
    double owed = 0;
    double earned = 0;
    double lostWaiting = 0;
    std::size_t served = 0;
    std::size_t onTime = 0;
    std::vector<double> firstEvents;
    for (const PromptRequest &request : requests) {
        if (!inGroup(request)) {
            continue;
        }
        const PromptKind &kind = scenario.kinds[request.kind];
        const double factor = std::min(baseCreditShare + (1 - baseCreditShare) * size(request) / meanSizes[request.kind], maxCreditFactor);
        const bool earnsFullCredit = isOnTime(request, kind);
        ++result.requests;
        owed += factor * kind.credit;
        earned += earnsFullCredit ? factor * kind.credit : request.completed ? factor * kind.lateCredit : 0;
        lostWaiting += lostWaitingShare(request, kind) * factor * kind.credit;
        served += request.completed ? 1 : 0;
        onTime += earnsFullCredit ? 1 : 0;
        if (request.completed) {
            firstEvents.push_back(Seconds(request.firstEventDelay).count());
        }
    }
    if (result.requests > 0) {
        const auto count = static_cast<double>(result.requests);
        result.credit = earned / owed;
        result.creditLostWaiting = lostWaiting / owed;
        result.served = static_cast<double>(served) / count;
        result.onTime = static_cast<double>(onTime) / count;
        result.late = result.served - result.onTime;
        result.firstEventP99 = percentile99(std::move(firstEvents));
    }
    return result;
}

/// The number of tokens from which on a prompt belongs to the longest tenth of its kind.
std::uint64_t longestTenthThreshold(const std::vector<PromptRequest> &requests, std::size_t kind)
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
    return lengths[lengths.size() - 1 - lengths.size() / lengthGroups];
}

void keepLowerCredit(std::optional<GroupResult> &worst, const GroupResult &candidate)
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
    const auto resultOf = [&](const Filter &inGroup) {
        return groupResult(scenario, requests, meanSizes, inGroup);
    };
    CreditReport report;
    report.all = resultOf([](const PromptRequest &) {
        return true;
    });
    for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
        report.kinds.push_back(resultOf([kind](const PromptRequest &request) {
            return request.kind == kind;
        }));
        report.longestTenths.push_back(resultOf([kind, threshold = longestTenthThreshold(requests, kind)](const PromptRequest &request) {
            return request.kind == kind && request.promptTokens >= threshold;
        }));
        report.beyondOneEngine.push_back(resultOf([kind, &scenario](const PromptRequest &request) {
            return request.kind == kind && Placement::exceedsOneEngine(scenario.engine, request.promptTokens + request.outputTokens);
        }));
    }
    std::optional<GroupResult> worstOrganisation;
    for (std::size_t organisation = 0; organisation < scenario.organisations; ++organisation) {
        const GroupResult candidate = resultOf([organisation](const PromptRequest &request) {
            return request.organisation == organisation;
        });
        if (candidate.requests * scenario.organisations * minOrganisationSizeDivisor >= requests.size()) {
            keepLowerCredit(worstOrganisation, candidate);
        }
    }
    std::optional<GroupResult> worstDataCentre;
    for (std::size_t dataCentre = 0; dataCentre < scenario.dataCentres; ++dataCentre) {
        keepLowerCredit(worstDataCentre, resultOf([&scenario, dataCentre](const PromptRequest &request) {
                            return request.host % scenario.dataCentres == dataCentre;
                        }));
    }
    report.worstOrganisation = worstOrganisation.value_or(report.all);
    report.worstDataCentre = worstDataCentre.value_or(report.all);
    return report;
}

}
