#pragma once

#include <cstdint>
#include <string>

namespace Mangofall {

enum class StoreReadStatus {
    Found,
    Missing,
    Unchanged, ///< A watch ended without a newer version.
    Failed, ///< No answer in time, or the store refused the call.
};

/**
 * \class StoreReadDone
 * \brief The end of a read from the platform's store.
 */
struct StoreReadDone {
    std::string key;
    StoreReadStatus status = StoreReadStatus::Failed;
    std::string value;
    std::uint64_t version = 0; ///< Version of the key; 0 unless found.
};

enum class StoreWriteStatus {
    Applied,
    Conflict, ///< The key had another version than expected; nothing was written.
    NotApplied, ///< Refused, or the call never reached the store.
    Unknown, ///< No answer: the write may have taken effect or may still do so.
};

/**
 * \class StoreWriteDone
 * \brief The end of a compare-and-swap in the platform's store.
 */
struct StoreWriteDone {
    std::string key;
    StoreWriteStatus status = StoreWriteStatus::Unknown;
    std::uint64_t version = 0; ///< Version of the key after the call if applied or in conflict; 0 otherwise.
};

}
