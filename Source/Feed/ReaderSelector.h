#pragma once

#include "Feed/FeedHost.h"

#include <cstddef>
#include <vector>

namespace Mangofall::Feed {

/// How many hosts of a data centre read the store.
struct ReaderLimits {
    std::size_t minHosts = 7; ///< Below this number of hosts each host reads the store by itself.
    std::size_t hostsPerReader = 16; ///< Bounds the number of hosts that follow one reader.
};

/**
 * \brief The hosts of a data centre that read the store for the others; empty if each host reads it by itself.
 *
 * Hosts that know the same hosts select the same readers. Hosts with larger capacity go first, since a reader sends the view to each of its followers; among
 * hosts with about the same capacity a hash decides.
 */
std::vector<FeedHost> selectReaders(const std::vector<FeedHost> &hosts, const ReaderLimits &limits);

/// The ids of \p readers without \p self, ordered by the preference of \p self, so that the followers of a data centre spread over its readers in
/// proportion to their links.
std::vector<HostId> orderReaders(const std::vector<FeedHost> &readers, const HostId &self);

}
