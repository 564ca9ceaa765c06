#pragma once

#include "Base/Time.h"
#include "Config/StoreEvents.h"
#include "Store/StoreCallScheduler.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Mangofall {

/**
 * \class StoreAccess
 * \brief Asynchronous access to the platform's store for the control thread; each call's handler is called exactly once, at the latest after a timeout.
 */
class StoreAccess
{
public:
    using ReadHandler = std::function<void(const StoreReadDone &)>;
    using WriteHandler = std::function<void(const StoreWriteDone &)>;

    virtual ~StoreAccess() = default;
    virtual void read(const std::string &key, StorePriority priority, ReadHandler handler) = 0;
    /// Writes \p value if the version of \p key is \p expectedVersion; 0 means that the key must not exist.
    virtual void compareAndSwap(const std::string &key, std::string value, std::uint64_t expectedVersion, StorePriority priority, WriteHandler handler) = 0;
    /// Waits until the version of \p key exceeds \p afterVersion; fails if it does not change before a timeout.
    virtual void watch(const std::string &key, std::uint64_t afterVersion, ReadHandler handler) = 0;
};

}
