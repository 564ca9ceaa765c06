#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
#include "Base/Time.h"

#include <optional>
#include <vector>

namespace Mangofall::Feed {

/**
 * \class FurtherHosts
 * \brief Selects which other host of the data centre is asked for changes while the store and the readers are all unreachable or stale.
 *
 * If the readers of a data centre have lost the store, they and their followers keep an old view although other hosts of the data centre may have a current
 * one. The hosts are asked in random order, so that those in need do not all ask the same one, and one at a time with a growing pause, because a host that is
 * alone without a current view is one of many that ask.
 */
class FurtherHosts
{
public:
    struct Choice {
        HostId host;
        TimePoint at; ///< No call is made before this time.
    };

    explicit FurtherHosts(RandomEngine random);

    /// Sets the hosts to choose from. The host that answered last stays the first choice.
    void setHosts(std::vector<HostId> hosts);
    bool contains(const HostId &host) const;
    /// The host to ask; empty if there is none.
    std::optional<Choice> next() const;
    /// The host has answered with a recent view and is asked again.
    void answered();
    /// The host did not answer, or its view is old.
    void failed(TimePoint now);

private:
    RandomEngine m_random;
    std::vector<HostId> m_sorted;
    std::vector<HostId> m_order; ///< The order in which the hosts are asked.
    std::size_t m_position = 0;
    unsigned m_failures = 0; ///< Number of failures since the last answer.
    TimePoint m_notBefore;
};

}
