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

constexpr std::chrono::milliseconds reservationValidity{3000};
constexpr std::chrono::milliseconds renewInterval{900};
constexpr std::chrono::milliseconds releaseRetryInterval{250};
constexpr int maxReleaseTries = 5;

}

MemoryReservationSet::MemoryReservationSet(Asio::io_context &io, EngineMemoryClient &engineMemory, std::vector<MemoryReservation> reservations)
    : m_io(io)
    , m_engineMemory(engineMemory)
    , m_reservations(std::move(reservations))
{
    std::sort(m_reservations.begin(), m_reservations.end(), [](const MemoryReservation &left, const MemoryReservation &right) {
        return left.upstream < right.upstream;
    });
}

Asio::awaitable<bool> MemoryReservationSet::acquire()
{
    const auto self = shared_from_this();
    while (m_requested < m_reservations.size() && !m_released) {
        const MemoryReservation &reservation = m_reservations[m_requested];
        ++m_requested;
        const bool reserved = co_await m_engineMemory.reserve(reservation, reservationValidity);
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
        for (std::size_t index = 0; index < m_reservations.size() && !m_released; ++index) {
            co_await m_engineMemory.reserve(m_reservations[index], reservationValidity);
        }
    }
}

// A renewal that is under way arrives before the release, because calls to an engine are sent one after the other.
Asio::awaitable<void> MemoryReservationSet::releaseAll()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_io);
    for (std::size_t index = 0; index < m_requested; ++index) {
        for (int attempt = 0; attempt < maxReleaseTries; ++attempt) {
            const bool released = co_await m_engineMemory.release(m_reservations[index]);
            if (released) {
                break;
            }
            timer.expires_after(releaseRetryInterval);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
    }
}

}
