#pragma once

#include <cstdint>
#include <string>

namespace Mangofall::Orders {

/// Names one store call; an answer to another call is ignored.
using StoreCallId = std::uint64_t;

/// Version of a store value; 0 means that the key does not exist.
using StoreVersion = std::uint64_t;

/// Action: read \p key and answer with StoreAnswered.
struct ReadKey {
    StoreCallId call = 0;
    std::string key;
};

/// Action: replace the value of \p key if its version is \p expected, and answer with StoreAnswered.
struct WriteKey {
    StoreCallId call = 0;
    std::string key;
    std::string value;
    StoreVersion expected = 0;
};

enum class StoreStatus {
    Ok,
    NotFound, ///< Reads only.
    Conflict, ///< Writes only: the version is another one.
    NoAnswer, ///< Timeout or failure; a write may still take effect at any later time.
};

/// Event: the answer to a ReadKey or WriteKey. Every call gets one, after its timeout if need be.
struct StoreAnswered {
    StoreCallId call = 0;
    StoreStatus status = StoreStatus::NoAnswer;
    StoreVersion version = 0; ///< Set with Ok.
    std::string value; ///< Set with Ok of a read.
};

}
