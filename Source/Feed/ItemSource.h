#pragma once

#include "Feed/ItemPage.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Mangofall::Feed {

/**
 * \class ItemSource
 * \brief Something that the store's keys can be read from: the store itself or another host.
 */
class ItemSource
{
public:
    virtual ~ItemSource() = default;
    /// Reads the items whose keys follow \p after, in the order of their keys. Pages are not a snapshot: each has a revision of its own.
    /// \p era is the newest era that the caller knows.
    virtual boost::asio::awaitable<ItemPage> readPage(std::uint64_t era, std::string after) = 0;
    /// Waits up to \p wait for changes after \p revision of \p era.
    virtual boost::asio::awaitable<ItemPage> watch(std::uint64_t era, std::uint64_t revision, std::chrono::milliseconds wait) = 0;
};

}
