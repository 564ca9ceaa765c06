#pragma once

#include <cstdint>
#include <string>

namespace Mangofall {

/// The outcome of a read or watch in the platform's store.
enum class StoreReadStatus {
    Found,
    Missing,
    Unchanged, ///< A watch ended without a newer version.
    Failed, ///< The store did not answer in time or refused the call.
};

/**
 * \class StoreReadDone
 * \brief The result of a read from the platform's store.
 */
struct StoreReadDone {
    std::string key;
    StoreReadStatus status = StoreReadStatus::Failed;
    std::string value;
    std::uint64_t version = 0; ///< Version of the key; 0 unless the status is Found.
};

/// The outcome of a compare-and-swap in the platform's store.
enum class StoreWriteStatus {
    Applied,
    Conflict, ///< The key did not have the expected version; nothing was written.
    NotApplied, ///< The store refused the call, or the call never reached it.
    Unknown, ///< No answer was received; the write may have taken effect or may still do so.
};

/**
 * \class StoreWriteDone
 * \brief The result of a compare-and-swap in the platform's store.
 */
struct StoreWriteDone {
    std::string key;
    StoreWriteStatus status = StoreWriteStatus::Unknown;
    std::uint64_t version = 0; ///< Version of the key after the call if the status is Applied or Conflict; 0 otherwise.
};

}
