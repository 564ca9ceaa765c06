#pragma once

#include <cstdint>
#include <string>

namespace Mangofall::Feed {

/**
 * \class StoreItem
 * \brief A key of the store with its value, or the removal of a key.
 */
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Revision of the store at the last change of the key.
    bool removed = false;
};

}
