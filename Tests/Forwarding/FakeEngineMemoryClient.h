#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <string>
#include <vector>

namespace Mangofall::Testing {

/**
 * \class FakeEngineMemoryClient
 * \brief Records all calls, and refuses reservations on the upstream `refuse`.
 */
class FakeEngineMemoryClient final : public Forwarding::EngineMemoryClient
{
public:
    std::vector<std::string> sent;
    UpstreamId refuse;

    boost::asio::awaitable<bool> reserve(const Forwarding::MemoryReservation &reservation, std::chrono::milliseconds) override
    {
        sent.push_back("reserve " + reservation.upstream.value());
        co_return reservation.upstream != refuse;
    }

    boost::asio::awaitable<bool> release(const Forwarding::MemoryReservation &reservation) override
    {
        sent.push_back("release " + reservation.upstream.value());
        co_return true;
    }
};

}
