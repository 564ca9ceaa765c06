#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace Mangofall::Testing {

/**
 * \class FakeEngineMemoryClient
 * \brief Records all calls, refuses reservations on the upstream `refuse`, and answers those on the upstream `silent` only at their deadline.
 */
class FakeEngineMemoryClient final : public Forwarding::EngineMemoryClient
{
public:
    std::vector<std::string> sent;
    UpstreamId refuse;
    UpstreamId silent;
    std::chrono::milliseconds longestSilence{60'000}; ///< After this time a call to the silent upstream ends before its deadline.

    boost::asio::awaitable<Forwarding::EngineMemoryAnswer>
    reserve(const Forwarding::MemoryReservation &reservation, std::chrono::milliseconds, TimePoint deadline) override
    {
        sent.push_back("reserve " + reservation.upstream.value());
        if (reservation.upstream == silent) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
            timer.expires_at(std::min(deadline, std::chrono::steady_clock::now() + longestSilence));
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            co_return Forwarding::EngineMemoryAnswer::None;
        }
        co_return reservation.upstream == refuse ? Forwarding::EngineMemoryAnswer::Refused : Forwarding::EngineMemoryAnswer::Done;
    }

    boost::asio::awaitable<Forwarding::EngineMemoryAnswer> release(const Forwarding::MemoryReservation &reservation) override
    {
        sent.push_back("release " + reservation.upstream.value());
        co_return Forwarding::EngineMemoryAnswer::Done;
    }
};

}
