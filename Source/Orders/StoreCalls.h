#pragma once

#include <cstdint>
#include <string>

namespace Mangofall::Orders {

/// Identifies one store call; answers with an unknown id are ignored.
using StoreCallId = std::uint64_t;

/// Version of a store value; 0 means that the key does not exist.
using StoreVersion = std::uint64_t;

/// Action: read \p key and answer with StoreAnswered.
struct ReadKey {
    StoreCallId call = 0;
    std::string key;
};

/// Action: replace the value of \p key if its version is \p expected and answer with StoreAnswered.
struct WriteKey {
    StoreCallId call = 0;
    std::string key;
    std::string value;
    StoreVersion expected = 0;
};

/// Result of a store call.
enum class StoreStatus {
    Ok,
    NotFound, ///< The key does not exist; only for reads.
    Conflict, ///< The stored version differs from the expected one; only for writes.
    NoAnswer, ///< The call timed out or failed; a write may still take effect at any later time.
};

/// Event: the answer to a ReadKey or WriteKey. Every call gets one, at the latest after its timeout.
struct StoreAnswered {
    StoreCallId call = 0;
    StoreStatus status = StoreStatus::NoAnswer;
    StoreVersion version = 0; ///< Version of the value; set if status is Ok.
    std::string value; ///< Set if a read has status Ok.
};

}
