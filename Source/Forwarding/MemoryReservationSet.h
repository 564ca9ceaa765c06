#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
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

    /// Makes all reservations, in the order of the upstreams' ids; false if one failed. The order is the same at all hosts, so that two requests cannot
    /// block each other.
    boost::asio::awaitable<bool> acquire();

    /// Gives everything back in the background; further calls do nothing.
    void release();

private:
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> releaseAll();

    boost::asio::io_context &m_io;
    EngineMemoryClient &m_engineMemory;
    std::vector<MemoryReservation> m_reservations;
    std::size_t m_requested = 0; ///< The number of reservations that were requested, from the first on.
    bool m_released = false;
};

}
