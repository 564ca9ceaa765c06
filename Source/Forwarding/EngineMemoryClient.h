#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace Mangofall::Forwarding {

/**
 * \class MemoryReservation
 * \brief Memory of one engine that is set aside for one request.
 */
struct MemoryReservation {
    UpstreamId upstream;
    NetworkAddress address;
    std::string name; ///< Unique among all tickets.
    std::uint64_t tokens = 0;
};

/**
 * \class EngineMemoryClient
 * \brief Orders to engines that concern their memory.
 */
class EngineMemoryClient
{
public:
    EngineMemoryClient() = default;
    EngineMemoryClient(const EngineMemoryClient &) = delete;
    EngineMemoryClient &operator=(const EngineMemoryClient &) = delete;
    virtual ~EngineMemoryClient() = default;

    /// Sets memory aside, or extends a ticket's time, for \p hold; false if the engine refused or did not answer.
    virtual boost::asio::awaitable<bool> reserve(const MemoryReservation &ticket, std::chrono::milliseconds hold) = 0;

    /// Gives the memory back; false if the engine did not confirm it.
    virtual boost::asio::awaitable<bool> release(const MemoryReservation &ticket) = 0;
};

}
