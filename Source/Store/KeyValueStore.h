#pragma once

#include "Base/Time.h"
#include "Config/StoreEvents.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Mangofall {

enum class LeaseStatus {
    Held,
    Expired, ///< The lease is gone; its keys are removed.
    Unknown, ///< No answer in time.
};

/**
 * \class KeyValueStore
 * \brief The platform's key-value store.
 *
 * Calls return at once; each handler is called exactly once, on the thread that runs the store's adapter and never from within the call itself. A
 * write without an answer may have taken effect, so an adapter never repeats a write on its own.
 */
class KeyValueStore
{
public:
    using ReadHandler = std::function<void(const StoreReadDone &)>;
    using WriteHandler = std::function<void(const StoreWriteDone &)>;
    /// The lease's id, or nothing if there was no answer; a lease created without an answer expires by itself.
    using LeaseHandler = std::function<void(const std::optional<std::string> &id)>;
    using RenewHandler = std::function<void(LeaseStatus)>;

    KeyValueStore() = default;
    KeyValueStore(const KeyValueStore &) = delete;
    KeyValueStore &operator=(const KeyValueStore &) = delete;
    virtual ~KeyValueStore() = default;

    virtual void get(const std::string &key, Duration timeout, ReadHandler handler) = 0;
    /// Writes \p key if its version is \p expectedVersion (0: the key does not exist). A key with a \p lease is removed when the lease ends.
    virtual void compareAndSwap(
        const std::string &key, std::string value, std::uint64_t expectedVersion, Duration timeout, WriteHandler handler, const std::string &leaseId = {})
        = 0;
    /// Waits for at most \p timeout until \p key has a version above \p after, or is removed if \p after is not 0.
    virtual void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout, ReadHandler handler) = 0;
    virtual void createLease(std::chrono::milliseconds timeToLive, Duration timeout, LeaseHandler handler) = 0;
    virtual void renewLease(const std::string &id, Duration timeout, RenewHandler handler) = 0;
};

}
