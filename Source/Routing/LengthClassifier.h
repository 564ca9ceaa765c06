#pragma once

#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Mangofall {

/**
 * \class LengthClassifier
 * \brief Sorts prompts into length classes whose bounds follow the work of the last minutes.
 *
 * Keeps a histogram of prompt sizes that decays with a half-life of one minute. The long bound is the size, within the
 * quantiles 0.02 to 0.98 of the work, that separates the work best by the logarithm of the prompt size (Otsu's method),
 * and at least eight times the median size, so uniform traffic has no long class. The short bound halves the
 * remaining work.
 */
class LengthClassifier
{
public:
    LengthClassifier();

    /// Counts a prompt of \p tokens at \p now; times may not decrease.
    void observe(TimePoint now, std::uint64_t tokens);

    LengthClass classify(std::uint64_t tokens) const;

    /// Largest size of the short class, in tokens.
    std::uint64_t shortBound() const;

    /// Largest size of the medium class, in tokens.
    std::uint64_t mediumBound() const;

    /// Share of the recent work that lies in the long class, from 0 to 1.
    double longWorkShare() const;

private:
    static constexpr std::size_t bucketsPerOctave = 4;
    static constexpr std::size_t octaves = 24;
    static constexpr std::size_t bucketCount = bucketsPerOctave * octaves;

    static std::size_t bucketOf(std::uint64_t tokens);
    static std::uint64_t upperBoundOf(std::size_t bucket);
    void decay(TimePoint now);
    void updateBounds();
    std::size_t otsuThresholdBucket(double totalWork) const;

    std::array<double, bucketCount> m_requests{};
    std::array<double, bucketCount> m_work{}; ///< Tokens.
    TimePoint m_lastDecay;
    bool m_started = false;
    std::uint64_t m_shortBound;
    std::uint64_t m_mediumBound;
    double m_longWorkShare = 0;
};

}
