#pragma once

#include "Forwarding/EngineMemoryClient.h"

#include <string>
#include <vector>

namespace Mangofall::Testing {

/**
 * \class FakeEngineMemoryClient
 * \brief Records the orders and refuses to reserve on the upstream named in refuse.
 */
class FakeEngineMemoryClient final : public Forwarding::EngineMemoryClient
{
public:
    std::vector<std::string> sent;
    UpstreamId refuse;

    boost::asio::awaitable<bool> reserve(const Forwarding::MemoryReservation &ticket, std::chrono::milliseconds) override
    {
        sent.push_back("reserve " + ticket.upstream.value());
        co_return ticket.upstream != refuse;
    }

    boost::asio::awaitable<bool> release(const Forwarding::MemoryReservation &ticket) override
    {
        sent.push_back("release " + ticket.upstream.value());
        co_return true;
    }
};

}
