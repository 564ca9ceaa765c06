#include "Forwarding/MemoryReservationSet.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds holdTime{3000};
constexpr std::chrono::milliseconds renewInterval{900};
constexpr std::chrono::milliseconds releaseRetryInterval{250};
constexpr int maxReleaseTries = 5;

}

MemoryReservationSet::MemoryReservationSet(Asio::io_context &io, EngineMemoryClient &engineMemory, std::vector<MemoryReservation> tickets)
    : m_io(io)
    , m_orders(engineMemory)
    , m_tickets(std::move(tickets))
{
    std::sort(m_tickets.begin(), m_tickets.end(), [](const MemoryReservation &left, const MemoryReservation &right) {
        return left.upstream < right.upstream;
    });
}

Asio::awaitable<bool> MemoryReservationSet::acquire()
{
    const auto self = shared_from_this();
    while (m_tried < m_tickets.size() && !m_released) {
        const MemoryReservation &ticket = m_tickets[m_tried];
        ++m_tried;
        const bool reserved = co_await m_orders.reserve(ticket, holdTime);
        if (!reserved) {
            release();
            co_return false;
        }
    }
    if (m_released) {
        co_return false;
    }
    Asio::co_spawn(m_io, renew(), Asio::detached);
    co_return true;
}

void MemoryReservationSet::release()
{
    if (!m_released) {
        m_released = true;
        Asio::co_spawn(m_io, releaseAll(), Asio::detached);
    }
}

Asio::awaitable<void> MemoryReservationSet::renew()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_io);
    while (!m_released) {
        timer.expires_after(renewInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        for (std::size_t index = 0; index < m_tickets.size() && !m_released; ++index) {
            co_await m_orders.reserve(m_tickets[index], holdTime);
        }
    }
}

// A renewal that is under way arrives before the release, because orders to an engine are sent one after the other.
Asio::awaitable<void> MemoryReservationSet::releaseAll()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_io);
    for (std::size_t index = 0; index < m_tried; ++index) {
        for (int attempt = 0; attempt < maxReleaseTries; ++attempt) {
            const bool released = co_await m_orders.release(m_tickets[index]);
            if (released) {
                break;
            }
            timer.expires_after(releaseRetryInterval);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
    }
}

}
