#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Streams/StreamSession.h"

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace Mangofall {

/**
 * \class RegistryLimits
 * \brief How long and how many bytes of sessions without a caller are kept.
 */
struct RegistryLimits {
    Duration keepTime = std::chrono::seconds(30);
    std::size_t maxBytes = std::size_t{16} * 1024 * 1024; ///< Held text of all detached sessions of the host.
    std::size_t maxSessions = 1024;
};

/**
 * \class SessionRegistry
 * \brief The sessions whose caller left and may come back with request id and last event id.
 */
class SessionRegistry
{
public:
    explicit SessionRegistry(const RegistryLimits &limits);

    /// Keeps \p session, to which CallerLeft with mayReturn was given. A session with the same organisation and request id is replaced and
    /// returned by the next expire().
    void detach(std::unique_ptr<StreamSession> session, TimePoint now);
    /// Hands the session back; null if it is not kept or belongs to another organisation.
    std::unique_ptr<StreamSession> attach(const OrganisationId &organisation, const RequestId &request);
    /// The kept session, for the upstream's events; null if it is not kept.
    StreamSession *find(const OrganisationId &organisation, const RequestId &request);
    /// Takes out what is kept too long or exceeds the limits, oldest first; the caller gives each CallerLeft without mayReturn.
    std::vector<std::unique_ptr<StreamSession>> expire(TimePoint now);

    std::size_t size() const;
    std::size_t heldBytes() const;

private:
    struct Entry {
        TimePoint keptUntil;
        std::unique_ptr<StreamSession> session;
    };
    using Entries = std::list<Entry>;

    Entries::iterator locate(const OrganisationId &organisation, const RequestId &request);

    RegistryLimits m_limits;
    Entries m_entries; ///< Oldest first; at most maxSessions after expire(), so a linear search suffices.
    std::vector<std::unique_ptr<StreamSession>> m_replaced;
};

}
