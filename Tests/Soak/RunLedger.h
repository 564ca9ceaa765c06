#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Soak {

/// How a request may be repeated.
enum class SoakKind {
    Stream,
    Repeatable,
    Once,
};

/// How an attempt ended for its caller.
enum class CallerEnd {
    Answered, ///< With a whole answer of an upstream, whatever its status.
    Refused, ///< With a status that promises that the request did not run.
    Failed, ///< With another status of the host's own.
    Broken, ///< The connection ended or the answer is not whole.
    Hung, ///< Nothing came long after the deadline.
};

/**
 * \class RunLedger
 * \brief What callers and upstreams saw of each attempt; collects the promises that were broken.
 */
class RunLedger
{
public:
    struct Attempt {
        SoakKind kind = SoakKind::Stream;
        TimePoint sentAt;
        TimePoint inTouchSince; ///< Since when the host has had no fault; TimePoint::max() while it has one.
        std::chrono::milliseconds deadline{};
        std::uint32_t runs = 0;
        std::optional<CallerEnd> end; ///< Empty while the caller waits.
    };

    void sent(const std::string &attempt, const Attempt &details);
    /// The attempt that a request at an upstream belongs to; null if no caller sent it.
    const Attempt *find(const std::string &attempt) const;
    /// An upstream begins to work on the attempt.
    void ran(const std::string &attempt);
    void ended(const std::string &attempt, CallerEnd end);
    void broken(const std::string &promise);
    /// Checks what can only be known after all requests have ended.
    void checkRefusals();

    const std::vector<std::string> &violations() const;
    std::uint64_t count(CallerEnd end) const;
    /// The share of the attempts sent at \p from or later that were answered; 1 if there were none.
    double answeredShare(TimePoint from) const;

private:
    std::map<std::string, Attempt> m_attempts;
    std::vector<std::string> m_violations;
};

}
