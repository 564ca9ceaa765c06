#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Feed {

struct StoreItem;

/**
 * \class StoreObserver
 * \brief Receives the changes of the store's keys, and the failures of calls to the store.
 */
class StoreObserver
{
public:
    virtual ~StoreObserver() = default;
    /// Called when an item was written or removed.
    virtual void itemChanged(const StoreItem &item) = 0;
    /// Called after itemChanged() has been called for all changes of one answer.
    virtual void changeBatchCompleted() = 0;
    /// Called when a call to the store that was made at \p madeAt shows that the store is not available to this host. A lost connection alone does not.
    virtual void storeCallFailed(TimePoint madeAt) = 0;
    /// Called when the store answers again after failed calls.
    virtual void storeRecovered() = 0;
    /// Called when the host that this host follows made a failed call to the store at \p time.
    virtual void readerCallFailed(TimePoint time) = 0;
    /// Called when another host has read the store after the failed calls, and knows of no failure itself: only the host that made them had lost the store.
    virtual void outageDisproved() = 0;
    /// Called when the first answer of a newer era of the store was seen: the store was restored from a copy. \p from is 0 if no era was known before.
    virtual void storeEraChanged(std::uint64_t from, std::uint64_t to) = 0;
};

}
