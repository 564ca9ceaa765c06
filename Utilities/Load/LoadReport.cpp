#include "Load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <sstream>

namespace Mangofall::Load {

namespace {

struct BucketBound {
    std::string_view name;
    std::uint32_t maxTokens;
};

constexpr std::array<BucketBound, 5> bucketBounds
    = {{{"up_to_1k", 1000}, {"1k_to_4k", 4000}, {"4k_to_16k", 16'000}, {"16k_to_100k", 100'000}, {"over_100k", std::numeric_limits<std::uint32_t>::max()}}};
constexpr std::array<double, 7> plotShares = {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99};
// Limits the memory that long runs use to about 32 MB per bucket.
constexpr std::size_t maxGaps = 4'000'000;

double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::size_t bucketOf(std::uint32_t tokens)
{
    std::size_t index = 0;
    while (tokens > bucketBounds[index].maxTokens) {
        ++index;
    }
    return index;
}

nlohmann::json distribution(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {{"count", values.size()},
            {"mean_ms", values.empty() ? 0 : sum / static_cast<double>(values.size())},
            {"p50_ms", percentile(values, 0.5)},
            {"p95_ms", percentile(values, 0.95)},
            {"p99_ms", percentile(values, 0.99)},
            {"max_ms", values.empty() ? 0 : values.back()}};
}

}

void LoadReport::add(const RequestResult &result)
{
    const std::string kind(resultKindNames[static_cast<std::size_t>(result.kind)]);
    if (!result.detail.empty()) {
        ++m_details[kind + ": " + result.detail];
    }
    if (result.order) {
        ++m_orderCounts[kind];
        return;
    }
    ++m_counts[kind];
    Bucket &bucket = m_buckets[bucketOf(result.promptTokens)];
    ++bucket.counts[kind];
    if (result.kind != ResultKind::Complete) {
        return;
    }
    bucket.firstToken.push_back(toMilliseconds(result.firstToken));
    bucket.total.push_back(toMilliseconds(result.total));
    for (const Duration gap : result.gaps) {
        if (bucket.gaps.size() < maxGaps) {
            bucket.gaps.push_back(toMilliseconds(gap));
        }
    }
}

nlohmann::json LoadReport::summary() const
{
    nlohmann::json buckets = nlohmann::json::object();
    for (const auto &[index, bucket] : m_buckets) {
        buckets[std::string(bucketBounds[index].name)] = {{"counts", bucket.counts},
                                                          {"first_token", distribution(bucket.firstToken)},
                                                          {"token_gap", distribution(bucket.gaps)},
                                                          {"total", distribution(bucket.total)}};
    }
    return {{"model_requests", m_counts}, {"orders", m_orderCounts}, {"by_prompt_tokens", buckets}, {"details", m_details}};
}

std::string LoadReport::plotData() const
{
    std::ostringstream text;
    text << "# bucket, then time to first token in ms at the shares";
    for (const double share : plotShares) {
        text << ' ' << share;
    }
    text << '\n';
    for (const auto &[index, bucket] : m_buckets) {
        std::vector<double> values = bucket.firstToken;
        std::sort(values.begin(), values.end());
        text << bucketBounds[index].name;
        for (const double share : plotShares) {
            text << ' ' << percentile(values, share);
        }
        text << '\n';
    }
    return text.str();
}

std::string LoadReport::plotScript(const std::string &dataFile, const std::string &svgFile)
{
    std::ostringstream script;
    script << "set terminal svg size 900,500 noenhanced\nset output '" << svgFile << "'\nset logscale y\nset style data linespoints\n"
           << "set ylabel 'time to first token, ms of service time'\nset xlabel 'prompt tokens'\nset key outside right\nset offsets 0.3, 0.3, 0, 0\nplot";
    for (std::size_t column = 0; column < plotShares.size(); ++column) {
        script << (column == 0 ? " '" : ", '") << dataFile << "' using 0:" << column + 2 << ":xtic(1) title 'p" << std::lround(plotShares[column] * 100)
               << '\'';
    }
    script << '\n';
    return script.str();
}

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

}
