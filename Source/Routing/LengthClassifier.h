#pragma once

#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Mangofall {

/**
 * \class LengthClassifier
 * \brief Sorts prompts into length classes whose bounds follow the traffic of the last minutes.
 *
 * Keeps a histogram of prompt sizes, in tokens, that decays with a half-life of one minute. The bound between the medium and the long class is the size that
 * best separates the work (the sum of the prompts' tokens) by the logarithm of the prompt size (Otsu's method), within the quantiles 0.02 to 0.98 of the work.
 * It is at least eight times the median size, so that uniform traffic has no long prompts. The bound between the short and the medium class splits the work
 * below it into halves.
 */
class LengthClassifier
{
public:
    LengthClassifier();

    /// Adds a prompt of \p tokens at \p now to the histogram; \p now may not decrease from call to call.
    void observe(TimePoint now, std::uint64_t tokens);

    LengthClass classify(std::uint64_t tokens) const;

    /// Largest prompt size of the short class, in tokens.
    std::uint64_t shortBound() const;

    /// Largest prompt size of the medium class, in tokens.
    std::uint64_t mediumBound() const;

    /// Share of the recent prompt tokens that belong to long prompts, from 0 to 1.
    double longWorkShare() const;

private:
    static constexpr std::size_t bucketsPerOctave = 4;
    static constexpr std::size_t octaves = 24;
    static constexpr std::size_t bucketCount = bucketsPerOctave * octaves;

    static std::size_t bucketOf(std::uint64_t tokens);
    static std::uint64_t upperBoundOf(std::size_t bucket);
    void decay(TimePoint now);
    void updateBounds();
    /// Last bucket below the threshold with the largest variance between the two classes, by Otsu's method.
    std::size_t otsuThresholdBucket(double totalWork) const;

    std::array<double, bucketCount> m_requests{}; ///< Decayed number of prompts per bucket.
    std::array<double, bucketCount> m_work{}; ///< Decayed sum of the prompts' tokens per bucket.
    TimePoint m_lastDecay;
    bool m_started = false;
    std::uint64_t m_shortBound;
    std::uint64_t m_mediumBound;
    double m_longWorkShare = 0;
};

}
