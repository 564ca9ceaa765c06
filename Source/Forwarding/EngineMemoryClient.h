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

/// How an engine answered a call about its memory.
enum class EngineMemoryAnswer {
    Done,
    Refused, ///< The engine has not enough free memory, or does not know the reservation.
    None, ///< No complete answer came in time.
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

    /// Makes or renews a reservation that lapses after \p validity. The call ends at \p deadline, or sooner.
    virtual boost::asio::awaitable<EngineMemoryAnswer> reserve(const MemoryReservation &reservation, std::chrono::milliseconds validity, TimePoint deadline)
        = 0;

    /// Gives the memory back. Done also if the engine holds no memory for the reservation.
    virtual boost::asio::awaitable<EngineMemoryAnswer> release(const MemoryReservation &reservation) = 0;
};

}
