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
 * \brief The platform's store as the control thread uses it: every call is answered once, after its timeout if need be.
 */
class StoreAccess
{
public:
    using ReadHandler = std::function<void(const StoreReadDone &)>;
    using WriteHandler = std::function<void(const StoreWriteDone &)>;

    virtual ~StoreAccess() = default;
    virtual void read(const std::string &key, StorePriority priority, ReadHandler handler) = 0;
    /// Writes if the key's version is \p expectedVersion; 0 means that the key must not exist.
    virtual void compareAndSwap(const std::string &key, std::string value, std::uint64_t expectedVersion, StorePriority priority, WriteHandler handler) = 0;
    /// Waits until the key's version exceeds \p afterVersion; fails after a while without a change.
    virtual void watch(const std::string &key, std::uint64_t afterVersion, ReadHandler handler) = 0;
};

}
