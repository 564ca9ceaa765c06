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
    Complete, ///< A complete answer.
    RefusedNotRun, ///< An error answer stating that the request was not run.
    Failed, ///< An error answer without the statement that the request was not run.
    GuaranteeBroken, ///< A stream that was truncated, out of order or incomplete, no answer in time, or an order that ran more than once.
    NotConnected, ///< The target could not be connected to.
    NotSent, ///< Not sent because LoadOptions::maxInFlight requests were in flight.
};

constexpr std::array<std::string_view, 6> resultKindNames = {"whole", "refused_not_run", "failed", "broken_promise", "not_connected", "not_sent"};

/**
 * \class RequestResult
 * \brief Outcome of one request. Times are in service time since the intended start.
 */
struct RequestResult {
    ResultKind kind = ResultKind::GuaranteeBroken;
    bool order = false;
    std::uint32_t promptTokens = 0;
    Duration firstToken{0}; ///< Zero if no token arrived.
    Duration total{0};
    std::vector<Duration> gaps; ///< Times between successive events that carry text.
    std::string detail; ///< HTTP status and error kind, or a description of the failure.
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
    /// Returns data for gnuplot: one line per bucket with its name and the time to first token in milliseconds at each percentile.
    std::string plotData() const;
    /// Returns a gnuplot script that plots \p dataFile to \p svgFile.
    static std::string plotScript(const std::string &dataFile, const std::string &svgFile);

private:
    struct Bucket {
        std::vector<double> firstToken; ///< Milliseconds. Only complete streams are included, as in the next two lists.
        std::vector<double> gaps;
        std::vector<double> total;
        std::map<std::string, std::uint64_t> counts;
    };

    std::map<std::size_t, Bucket> m_buckets; ///< Keyed by the index of the prompt length bound.
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_orderCounts;
    std::map<std::string, std::uint64_t> m_details;
};

/// Returns the value at \p share (0 to 1) of \p sorted by the nearest-rank method, or 0 if \p sorted is empty.
double percentile(const std::vector<double> &sorted, double share);

}
