#pragma once

#include "Base/Time.h"

namespace Mangofall::Feed {

struct StoreItem;

/**
 * \class HoldTerms
 * \brief How long a known item of the store is held against another one.
 */
struct HoldTerms {
    Duration time{0}; ///< Zero if the other item replaces the known one at once.
    bool untilWritten = false; ///< Whether only a later change of the key replaces the known item once the time has passed.
};

/**
 * \class RestorePolicy
 * \brief Decides which of two values of a key replaces the other after the store was restored from an older copy.
 *
 * An item that is marked as removed stands for a key that does not exist.
 */
class RestorePolicy
{
public:
    virtual ~RestorePolicy() = default;
    /// How long \p known is held against \p copied, which differs from it and may be older.
    virtual HoldTerms againstCopy(const StoreItem &known, const StoreItem &copied) const = 0;
    /// How long after the restore \p known is held against \p written, a change of the key after the copy.
    virtual Duration againstWrite(const StoreItem &known, const StoreItem &written) const = 0;
};

}
