#include "Forwarding/SingleCallPool.h"

#include "Config/NetworkAddress.h"
#include "Http/UpstreamConnectionPool.h"

namespace Mangofall::Forwarding {

namespace {

// A reachable upstream accepts within a few milliseconds; the kernel resends a lost packet of the handshake only after a second.
constexpr std::chrono::milliseconds connectTimeout{250};

}

std::shared_ptr<UpstreamConnectionPool> singleCallPool(boost::asio::io_context &io, const NetworkAddress &upstream)
{
    return std::make_shared<UpstreamConnectionPool>(io, upstream.address, upstream.port, ConnectionPoolOptions{connectTimeout, 0});
}

}
