#include "Forwarding/MemoryReservationSet.h"

#include "Base/AsyncTasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds reservationValidity{3000};
constexpr std::chrono::milliseconds renewInterval{900};
constexpr std::chrono::milliseconds releaseRetryInterval{250};
constexpr int maxReleaseTries = 5;

}

MemoryReservationSet::MemoryReservationSet(Asio::io_context &io, EngineMemoryClient &engineMemory, std::vector<MemoryReservation> reservations)
    : m_io(io)
    , m_engineMemory(engineMemory)
    , m_reservations(std::move(reservations))
    , m_acquired(io)
{
    std::sort(m_reservations.begin(), m_reservations.end(), [](const MemoryReservation &left, const MemoryReservation &right) {
        return left.upstream < right.upstream;
    });
}

Asio::awaitable<bool> MemoryReservationSet::acquire(TimePoint deadline)
{
    const auto self = shared_from_this();
    m_acquired.expires_at(deadline);
    Asio::co_spawn(m_io, reserveAll(deadline), reportErrors);
    if (!m_reservingEnded) {
        co_await m_acquired.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    if (!m_reserved || m_released) {
        release();
        co_return false;
    }
    for (std::size_t index = 0; index < m_reservations.size(); ++index) {
        Asio::co_spawn(m_io, renew(index), reportErrors);
    }
    co_return true;
}

void MemoryReservationSet::release()
{
    if (!m_released) {
        m_released = true;
        m_acquired.cancel();
        Asio::co_spawn(m_io, releaseAll(), reportErrors);
    }
}

const std::optional<UpstreamId> &MemoryReservationSet::silentUpstream() const
{
    return m_silentUpstream;
}

Asio::awaitable<void> MemoryReservationSet::reserveAll(TimePoint deadline)
{
    const auto self = shared_from_this();
    EngineMemoryAnswer answer = EngineMemoryAnswer::Done;
    while (answer == EngineMemoryAnswer::Done && m_requested < m_reservations.size() && !m_released) {
        const MemoryReservation &reservation = m_reservations[m_requested];
        ++m_requested;
        answer = co_await m_engineMemory.reserve(reservation, reservationValidity, deadline);
        if (answer == EngineMemoryAnswer::None && Clock::now() < deadline) {
            m_silentUpstream = reservation.upstream;
        }
        co_await releaseIfLate(reservation);
    }
    m_reserved = answer == EngineMemoryAnswer::Done && m_requested == m_reservations.size();
    m_reservingEnded = true;
    m_acquired.cancel();
}

Asio::awaitable<void> MemoryReservationSet::releaseIfLate(const MemoryReservation &reservation)
{
    if (m_released) {
        co_await m_engineMemory.release(reservation);
    }
}

Asio::awaitable<void> MemoryReservationSet::renew(std::size_t index)
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_io);
    while (true) {
        timer.expires_after(renewInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        if (m_released) {
            co_return;
        }
        co_await m_engineMemory.reserve(m_reservations[index], reservationValidity, Clock::now() + renewInterval);
        co_await releaseIfLate(m_reservations[index]);
    }
}

Asio::awaitable<void> MemoryReservationSet::releaseAll()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_io);
    for (std::size_t index = 0; index < m_requested; ++index) {
        for (int attempt = 0; attempt < maxReleaseTries; ++attempt) {
            const EngineMemoryAnswer answer = co_await m_engineMemory.release(m_reservations[index]);
            if (answer == EngineMemoryAnswer::Done) {
                break;
            }
            timer.expires_after(releaseRetryInterval);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
    }
}

}
