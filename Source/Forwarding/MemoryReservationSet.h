#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class MemoryReservationSet
 * \brief Reserves the memory that one request needs on its helpers, all of it or none, and renews the reservations until they are released.
 *
 * Each reservation is valid for a few seconds only, so that the memory that a host reserved is soon free again if the host dies.
 */
class MemoryReservationSet : public std::enable_shared_from_this<MemoryReservationSet>
{
public:
    /// \p io and \p engineMemory must outlive the set.
    MemoryReservationSet(boost::asio::io_context &io, EngineMemoryClient &engineMemory, std::vector<MemoryReservation> reservations);

    /// Makes all reservations, in the order of the upstreams' ids; false if one failed or \p deadline has passed. The order is the same at all hosts, so that
    /// two requests cannot block each other. Ends at once if release() is called meanwhile.
    boost::asio::awaitable<bool> acquire(TimePoint deadline);

    /// Gives everything back in the background; further calls do nothing.
    void release();

    /// The upstream that did not answer acquire(); empty if all did.
    const std::optional<UpstreamId> &silentUpstream() const;

private:
    /// Requests the reservations one after the other until one fails.
    boost::asio::awaitable<void> reserveAll(TimePoint deadline);
    /// Renews one reservation until all are released. Each has its own calls, so that a slow helper does not let the memory of the others lapse.
    boost::asio::awaitable<void> renew(std::size_t index);
    boost::asio::awaitable<void> releaseAll();
    /// Releases a reservation again if its request or renewal was under way at the time of release(), and so may have arrived after it.
    boost::asio::awaitable<void> releaseIfLate(const MemoryReservation &reservation);

    boost::asio::io_context &m_io;
    EngineMemoryClient &m_engineMemory;
    std::vector<MemoryReservation> m_reservations;
    std::size_t m_requested = 0; ///< The number of reservations that were requested, from the first on.
    boost::asio::steady_timer m_acquired; ///< Expires when acquire() ends.
    std::optional<UpstreamId> m_silentUpstream;
    bool m_reservingEnded = false; ///< Whether no further reservation will be requested.
    bool m_reserved = false; ///< Whether all reservations were made.
    bool m_released = false;
};

}
