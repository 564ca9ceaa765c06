#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>

namespace Mangofall::Placement {

/**
 * \class CrashRecord
 * \brief Counts how often a request's upstream broke the connection while the request ran, and quarantines requests that appear to crash upstreams.
 *
 * Requests are told apart by their fingerprint, which repetitions of a request share. A harmless request that ran beside the cause of a crash is
 * cleared when one of its repetitions completes. A quarantined request is admitted for a limited number of trials, with growing pauses between them,
 * so that a harmless one can clear itself.
 */
class CrashRecord
{
public:
    /// Records that an upstream broke the connection while the request ran.
    void recordBreak(std::uint64_t fingerprint, TimePoint now);
    /// Clears the request, because an upstream completed it.
    void recordCompletion(std::uint64_t fingerprint);
    /// Returns whether the request may be sent now. A quarantined request may be sent when its next trial is due; the call then counts as that trial.
    bool admit(std::uint64_t fingerprint, TimePoint now);
    /// The time until the request may be sent again; zero if it may be sent now. After the last trial it stays quarantined until its record expires.
    Duration quarantineTime(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Entry {
        std::uint32_t breaks = 0;
        std::uint32_t trials = 0;
        TimePoint lastBreak;
        TimePoint nextTrial;
    };

    void expire(TimePoint now);

    std::map<std::uint64_t, Entry> m_entries;
};

}
