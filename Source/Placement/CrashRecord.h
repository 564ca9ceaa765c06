#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>

namespace Mangofall::Placement {

/**
 * \class CrashRecord
 * \brief Counts how often a request was running when its upstream broke off, so that a request that crashes upstreams stops being sent.
 *
 * Innocent requests that ran beside it are cleared when one of their repetitions completes.
 */
class CrashRecord
{
public:
    void broken(std::uint64_t fingerprint, TimePoint now);
    void completed(std::uint64_t fingerprint);
    /// Whether the request may be sent again.
    bool mayRun(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Entry {
        std::uint32_t breaks = 0;
        TimePoint last;
    };

    void expire(TimePoint now);

    std::map<std::uint64_t, Entry> m_entries;
};

}
