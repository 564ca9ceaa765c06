#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Forwarding/ListedUpstream.h"
#include "Forwarding/UpstreamAvailability.h"
#include "Forwarding/UpstreamNotices.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class UpstreamDirectory
 * \brief The upstreams that this host knows from the upstream list, and the data centres that are out of service.
 *
 * While the list cannot be written, entries may lapse although their upstreams are alive. Entries that are removed during an outage of the list or
 * soon after it are therefore kept until their upstreams have had time to list themselves again, which is called the relist period. It counts from a moment at
 * which the list was certainly unavailable, not from when this host found it available again: it must be over when the host is bound by removals again, however
 * late that was.
 */
class UpstreamDirectory final : public UpstreamAvailability
{
public:
    /// Upstreams list themselves again within two seconds after the list is reachable again.
    static constexpr std::chrono::milliseconds defaultRelistPeriod{2500};

    explicit UpstreamDirectory(Duration relistPeriod = defaultRelistPeriod);

    /// Adds or changes an entry.
    void listed(const ListedUpstream &upstream);
    /// Removes an entry. Within the relist period it is kept until the end of the period instead, unless its upstream is leaving; returns that time then.
    std::optional<TimePoint> removed(const UpstreamId &id, TimePoint now);
    /// Removes an upstream whose entry was overwritten with one that names none, also within the relist period.
    void invalidated(const UpstreamId &id);
    void setOutOfService(std::set<DataCentreId> dataCentres);

    /// Starts the relist period at \p unavailableAt, in place of an earlier one. To be called after each access that shows the list to be unavailable, with the
    /// time at which it was made.
    void restartRelistPeriod(TimePoint unavailableAt);

    /// There was no outage: ends the relist period, also for the entries that are kept.
    void endRelistPeriod(TimePoint now);

    /// Removes the entries that were kept and not listed again within the relist period; true if there were any.
    bool expire(TimePoint now);

    /// All entries, with `accepting` set for those that may get requests.
    std::vector<Placement::UpstreamEntry> entries() const;
    std::size_t size() const;

    bool mayUse(const UpstreamId &upstream, TimePoint now) const override;
    void recordNotice(const UpstreamId &upstream, const Placement::UpstreamNotice &notice, TimePoint now) override;

private:
    struct KnownUpstream {
        ListedUpstream upstream;
        std::optional<TimePoint> keptUntil; ///< Set if the entry was removed from the list and is kept until this time.
    };

    /// Removes the entry and records the id, so that mayUse() does not take the upstream for a new one.
    void removePermanently(const UpstreamId &id);
    bool accepting(const KnownUpstream &known) const;

    Duration m_relistPeriod;
    std::map<UpstreamId, KnownUpstream> m_upstreams;
    UpstreamNotices m_notices;
    std::set<UpstreamId> m_removedIds; ///< Upstreams that were removed and not listed again; an id is reused only with a new listing.
    std::set<DataCentreId> m_outOfService;
    std::optional<TimePoint> m_relistPeriodStart; ///< Empty before the first call of restartRelistPeriod().
};

}
