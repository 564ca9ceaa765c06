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
 * \brief Bounds on the time, memory and number of detached sessions, whose caller has disconnected.
 */
struct RegistryLimits {
    Duration retentionTime = std::chrono::seconds(30); ///< Time that a detached session is kept.
    std::size_t maxBytes = std::size_t{16} * 1024 * 1024; ///< Buffered text of all detached sessions of the host.
    std::size_t maxSessions = 1024;
};

/**
 * \class SessionRegistry
 * \brief Sessions whose caller has disconnected and may reconnect with the request id and the last event id.
 */
class SessionRegistry
{
public:
    explicit SessionRegistry(const RegistryLimits &limits);

    /// Keeps \p session, which must have handled CallerLeft with mayReturn. A session with the same organisation and request id is replaced; the
    /// next expire() returns it.
    void detach(std::unique_ptr<StreamSession> session, TimePoint now);
    /// Removes and returns the session; null if it is not kept or belongs to another organisation.
    std::unique_ptr<StreamSession> attach(const OrganisationId &organisation, const RequestId &request);
    /// Returns a kept session, so that it can handle events of its upstream; null if it is not kept.
    StreamSession *find(const OrganisationId &organisation, const RequestId &request);
    /// Removes and returns the sessions that have expired or exceed the limits, oldest first, and those that detach() replaced. The caller must let
    /// each of them handle CallerLeft without mayReturn.
    std::vector<std::unique_ptr<StreamSession>> expire(TimePoint now);

    std::size_t size() const;
    /// Buffered text of all kept sessions in bytes.
    std::size_t bufferedBytes() const;

private:
    struct Entry {
        TimePoint expiresAt;
        std::unique_ptr<StreamSession> session;
    };
    using Entries = std::list<Entry>;

    Entries::iterator locate(const OrganisationId &organisation, const RequestId &request);

    RegistryLimits m_limits;
    Entries m_entries; ///< Oldest first. expire() leaves at most maxSessions, so a linear search is sufficient.
    std::vector<std::unique_ptr<StreamSession>> m_replaced; ///< Sessions that the next expire() returns.
};

}
