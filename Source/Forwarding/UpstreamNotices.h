#pragma once

#include "Base/Ids.h"
#include "Placement/UpstreamNotice.h"

#include <map>

namespace Mangofall::Forwarding {

/**
 * \class UpstreamNotices
 * \brief What upstreams have said about themselves in their answers to this host.
 */
class UpstreamNotices
{
public:
    void record(const UpstreamId &upstream, const Placement::UpstreamNotice &notice, TimePoint now);
    /// Forgets the notices of an upstream that has ended or restarted.
    void forget(const UpstreamId &upstream);

    /// Whether the upstream has said that it is leaving.
    bool leaving(const UpstreamId &upstream) const;
    /// Whether the upstream wants no request from this host at \p now.
    bool refuses(const UpstreamId &upstream, TimePoint now) const;

private:
    struct Entry {
        bool leaving = false;
        TimePoint pausedUntil;
    };

    std::map<UpstreamId, Entry> m_entries;
};

}
