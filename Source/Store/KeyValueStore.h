#pragma once

#include "Base/Time.h"
#include "Config/StoreEvents.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Mangofall {

/// Result of renewing a lease.
enum class LeaseStatus {
    Held,
    Expired, ///< The lease has ended and its keys are removed.
    Unknown, ///< No usable answer arrived in time; the lease may have been renewed.
};

/**
 * \class KeyValueStore
 * \brief Interface to the platform's key-value store.
 *
 * Calls do not block. Each handler is called exactly once, on the thread that runs the implementation, and never from within the call. A
 * write without an answer may have been applied, so an implementation never retries a write.
 */
class KeyValueStore
{
public:
    using ReadHandler = std::function<void(const StoreReadDone &)>;
    using WriteHandler = std::function<void(const StoreWriteDone &)>;
    /// Receives the id of the new lease, or nothing if no valid answer arrived. A lease that was created although its answer was lost expires by itself.
    using LeaseHandler = std::function<void(const std::optional<std::string> &id)>;
    using RenewHandler = std::function<void(LeaseStatus)>;

    KeyValueStore() = default;
    KeyValueStore(const KeyValueStore &) = delete;
    KeyValueStore &operator=(const KeyValueStore &) = delete;
    virtual ~KeyValueStore() = default;

    /// Reads \p key.
    virtual void get(const std::string &key, Duration timeout, ReadHandler handler) = 0;
    /// Writes \p key if its version is \p expectedVersion; 0 means that the key must not exist. With a \p leaseId, the key is removed when that lease
    /// ends.
    virtual void compareAndSwap(
        const std::string &key, std::string value, std::uint64_t expectedVersion, Duration timeout, WriteHandler handler, const std::string &leaseId = {})
        = 0;
    /// Waits for at most \p timeout until \p key has a version above \p afterVersion or, if \p afterVersion is not 0, is removed.
    virtual void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout, ReadHandler handler) = 0;
    /// Creates a lease that expires unless it is renewed within \p timeToLive.
    virtual void createLease(std::chrono::milliseconds timeToLive, Duration timeout, LeaseHandler handler) = 0;
    /// Restarts the time to live of a lease.
    virtual void renewLease(const std::string &leaseId, Duration timeout, RenewHandler handler) = 0;
};

}
