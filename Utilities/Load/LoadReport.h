#pragma once

#include "Base/Time.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall::Load {

enum class ResultKind {
    Whole,
    RefusedNotRun,
    Failed, ///< An error answer that does not claim that nothing ran.
    BrokenPromise, ///< A stream that was cut off, out of order or incomplete, no answer in time, or an order that ran twice.
    NotConnected, ///< No connection to the target.
    NotSent, ///< The generator's own limit of requests in flight.
};

constexpr std::array<std::string_view, 6> resultNames = {"whole", "refused_not_run", "failed", "broken_promise", "not_connected", "not_sent"};

/**
 * \class RequestResult
 * \brief What became of one request; times are service time from the intended start.
 */
struct RequestResult {
    ResultKind kind = ResultKind::BrokenPromise;
    bool order = false;
    std::uint32_t promptTokens = 0;
    Duration firstToken{0}; ///< 0 if none came.
    Duration total{0};
    std::vector<Duration> gaps; ///< Between events with text.
    std::string detail; ///< Error kind or what was wrong.
};

/**
 * \class LoadReport
 * \brief Collects results and summarises them by prompt length.
 */
class LoadReport
{
public:
    void add(const RequestResult &result);
    nlohmann::json summary() const;
    /// Lines of bucket name and time to first token in milliseconds at each percentile, for gnuplot.
    std::string plotData() const;
    /// Script that plots \p dataFile to \p svgFile.
    static std::string plotScript(const std::string &dataFile, const std::string &svgFile);

private:
    struct Bucket {
        std::vector<double> firstToken; ///< Milliseconds, whole streams only.
        std::vector<double> gaps;
        std::vector<double> total;
        std::map<std::string, std::uint64_t> counts;
    };

    std::map<std::size_t, Bucket> m_buckets; ///< By index into the bounds.
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_orderCounts;
    std::map<std::string, std::uint64_t> m_details;
};

/// The value at \p share (0 to 1) of \p sorted by nearest rank; 0 if empty.
double percentile(const std::vector<double> &sorted, double share);

}
