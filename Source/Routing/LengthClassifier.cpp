#include "Routing/LengthClassifier.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Mangofall {

namespace {

using namespace std::chrono_literals;

constexpr Seconds halfLife{60};
// Interval between updates of the histogram's decay and the bounds; an update per prompt would cost more and change little.
constexpr Duration updateInterval = 1s;
// Bounds before any traffic, in tokens.
constexpr std::uint64_t initialShortBound = 8'000;
constexpr std::uint64_t initialMediumBound = 64'000;
// With a decayed number of prompts below this, the bounds stay as they are.
constexpr double minRequests = 20;
constexpr double minLongToMedianRatio = 8;
// Quantiles of the work between which Otsu's method looks for the threshold.
constexpr double lowestQuantile = 0.02;
constexpr double highestQuantile = 0.98;

}

LengthClassifier::LengthClassifier()
    : m_shortBound(initialShortBound)
    , m_mediumBound(initialMediumBound)
{
}

void LengthClassifier::observe(TimePoint now, std::uint64_t tokens)
{
    const std::size_t bucket = bucketOf(tokens);
    m_requests[bucket] += 1;
    m_work[bucket] += static_cast<double>(tokens);
    decay(now);
}

LengthClass LengthClassifier::classify(std::uint64_t tokens) const
{
    if (tokens <= m_shortBound) {
        return LengthClass::Short;
    }
    return tokens <= m_mediumBound ? LengthClass::Medium : LengthClass::Long;
}

std::uint64_t LengthClassifier::shortBound() const
{
    return m_shortBound;
}

std::uint64_t LengthClassifier::mediumBound() const
{
    return m_mediumBound;
}

double LengthClassifier::longWorkShare() const
{
    return m_longWorkShare;
}

std::size_t LengthClassifier::bucketOf(std::uint64_t tokens)
{
    const double octave = std::log2(static_cast<double>(std::max<std::uint64_t>(tokens, 1)));
    return std::min(static_cast<std::size_t>(octave * bucketsPerOctave), bucketCount - 1);
}

std::uint64_t LengthClassifier::upperBoundOf(std::size_t bucket)
{
    return static_cast<std::uint64_t>(std::exp2(static_cast<double>(bucket + 1) / bucketsPerOctave));
}

void LengthClassifier::decay(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_lastDecay = now;
        return;
    }
    if (now - m_lastDecay < updateInterval) {
        return;
    }
    const double factor = std::exp2(-(Seconds(now - m_lastDecay) / halfLife));
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        m_requests[bucket] *= factor;
        m_work[bucket] *= factor;
    }
    m_lastDecay = now;
    updateBounds();
}

void LengthClassifier::updateBounds()
{
    const double requests = std::accumulate(m_requests.begin(), m_requests.end(), 0.0);
    const double work = std::accumulate(m_work.begin(), m_work.end(), 0.0);
    if (requests < minRequests) {
        return;
    }
    std::size_t median = 0;
    for (double cumulative = m_requests[0]; cumulative < requests / 2; cumulative += m_requests[median]) {
        ++median;
    }
    const auto minMediumBound = static_cast<std::uint64_t>(minLongToMedianRatio * static_cast<double>(upperBoundOf(median)));
    const std::size_t minLastMediumBucket = bucketOf(minMediumBound);
    const std::size_t lastMediumBucket = std::max(otsuThresholdBucket(work), minLastMediumBucket);
    double shortAndMediumWork = 0;
    for (std::size_t bucket = 0; bucket <= lastMediumBucket; ++bucket) {
        shortAndMediumWork += m_work[bucket];
    }
    std::size_t lastShortBucket = 0;
    for (double cumulative = m_work[0]; cumulative < shortAndMediumWork / 2; cumulative += m_work[lastShortBucket]) {
        ++lastShortBucket;
    }
    m_shortBound = upperBoundOf(lastShortBucket);
    m_mediumBound = upperBoundOf(lastMediumBucket);
    m_longWorkShare = std::clamp(1 - shortAndMediumWork / work, 0.0, 1.0);
}

std::size_t LengthClassifier::otsuThresholdBucket(double totalWork) const
{
    double logSum = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        logSum += m_work[bucket] * static_cast<double>(bucket);
    }
    std::size_t bestBucket = 0;
    double bestVariance = -1;
    double workBelow = 0;
    double logSumBelow = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        workBelow += m_work[bucket];
        logSumBelow += m_work[bucket] * static_cast<double>(bucket);
        const double share = workBelow / totalWork;
        if (share < lowestQuantile || share > highestQuantile) {
            continue;
        }
        const double meanDifference = logSumBelow / workBelow - (logSum - logSumBelow) / (totalWork - workBelow);
        const double betweenClassVariance = share * (1 - share) * meanDifference * meanDifference;
        if (betweenClassVariance > bestVariance) {
            bestVariance = betweenClassVariance;
            bestBucket = bucket;
        }
    }
    return bestBucket;
}

}
