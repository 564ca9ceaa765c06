#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>

namespace Mangofall::Placement {

/**
 * \class CrashRecord
 * \brief Counts how often a request was running when its upstream broke off, so that a request that crashes upstreams stops being sent.
 *
 * Innocent requests that ran beside it are cleared when one of their repetitions completes; a request that is held back is tried again a few times,
 * with growing pauses, so that an innocent one comes back.
 */
class CrashRecord
{
public:
    void broken(std::uint64_t fingerprint, TimePoint now);
    void completed(std::uint64_t fingerprint);
    /// Whether the request may be sent now. A request that is held back may be when its next trial is due, and this is the trial then.
    bool admit(std::uint64_t fingerprint, TimePoint now);
    /// How long the request will be held back; zero if it is not, the longest pause if no trial is left.
    Duration heldFor(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Entry {
        std::uint32_t breaks = 0;
        std::uint32_t trials = 0;
        TimePoint last;
        TimePoint nextTrial;
    };

    void expire(TimePoint now);

    std::map<std::uint64_t, Entry> m_entries;
};

}
