#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Forwarding/ListedUpstream.h"
#include "Forwarding/UpstreamAvailability.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class UpstreamDirectory
 * \brief The upstreams that this host believes in, from the upstream list and the data centres out of service.
 *
 * Entries may lapse while the list cannot be written although their upstreams live. After an outage of the list, removed entries are kept until
 * their upstreams have had the time to list themselves again.
 */
class UpstreamDirectory final : public UpstreamAvailability
{
public:
    /// Adds or changes an entry.
    void listed(const ListedUpstream &upstream);
    void removed(const UpstreamId &id, TimePoint now);
    void setOutOfService(std::set<DataCentreId> dataCentres);

    /// The list answers again after an outage.
    void listRecovered(TimePoint now);

    /// Drops entries whose time to come back is over; true if there were any.
    bool expire(TimePoint now);

    /// What may be placed on, with `accepting` set.
    std::vector<Placement::UpstreamEntry> entries() const;
    std::size_t size() const;

    bool mayUse(const UpstreamId &upstream) const override;

private:
    struct Known {
        ListedUpstream upstream;
        std::optional<TimePoint> removedUntil; ///< Removed from the list; kept until this time.
    };

    /// Removes the upstream for good.
    void forget(const UpstreamId &id);
    bool accepting(const Known &known) const;

    std::map<UpstreamId, Known> m_known;
    std::set<UpstreamId> m_gone; ///< Removed for good; ids are not used again by upstreams that were not listed again.
    std::set<DataCentreId> m_outOfService;
    std::optional<TimePoint> m_returnedAt;
};

}
