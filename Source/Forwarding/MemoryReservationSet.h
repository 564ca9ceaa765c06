#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class MemoryReservationSet
 * \brief Holds the memory that one request needs on its helpers: all of it or none, renewed until it is released.
 *
 * Tickets are held for a few seconds only, so that the memory of a host that dies is free again soon.
 */
class MemoryReservationSet : public std::enable_shared_from_this<MemoryReservationSet>
{
public:
    /// \p io and \p orders must outlive the hold.
    MemoryReservationSet(boost::asio::io_context &io, EngineMemoryClient &engineMemory, std::vector<MemoryReservation> tickets);

    /// Reserves all tickets in the order of their upstreams' ids, which is the same at all hosts, so that two requests cannot block each other.
    boost::asio::awaitable<bool> acquire();

    /// Gives everything back in the background; further calls do nothing.
    void release();

private:
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> releaseAll();

    boost::asio::io_context &m_io;
    EngineMemoryClient &m_orders;
    std::vector<MemoryReservation> m_tickets;
    std::size_t m_tried = 0; ///< Tickets for which an order was sent.
    bool m_released = false;
};

}
