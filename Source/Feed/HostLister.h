#pragma once

#include <boost/asio/awaitable.hpp>

namespace Mangofall::Feed {

/**
 * \class HostLister
 * \brief Reads the list of live hosts from the store, so that a host that starts can read everything else from a peer.
 */
class HostLister
{
public:
    virtual ~HostLister() = default;
    /// Passes the live hosts to the SourceSelector; returns whether the store answered.
    virtual boost::asio::awaitable<bool> listHosts() = 0;
};

}
