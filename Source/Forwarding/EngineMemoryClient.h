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
    std::string name; ///< Unique among all reservations.
    std::uint64_t tokens = 0; ///< Prompt tokens that the memory must have room for.
};

/**
 * \class EngineMemoryClient
 * \brief Reserves and releases KV memory of engines.
 */
class EngineMemoryClient
{
public:
    EngineMemoryClient() = default;
    EngineMemoryClient(const EngineMemoryClient &) = delete;
    EngineMemoryClient &operator=(const EngineMemoryClient &) = delete;
    virtual ~EngineMemoryClient() = default;

    /// Makes or renews a reservation that lapses after \p validity; false if the engine refused or did not answer.
    virtual boost::asio::awaitable<bool> reserve(const MemoryReservation &reservation, std::chrono::milliseconds validity) = 0;

    /// Gives the memory back; false if the engine did not confirm it.
    virtual boost::asio::awaitable<bool> release(const MemoryReservation &reservation) = 0;
};

}
