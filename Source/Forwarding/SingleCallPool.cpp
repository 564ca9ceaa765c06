#include "Forwarding/SingleCallPool.h"

#include "Config/NetworkAddress.h"
#include "Http/UpstreamConnectionPool.h"

namespace Mangofall::Forwarding {

namespace {

// An upstream in reach accepts within a few milliseconds; a lost packet is sent again by the kernel only after a second.
constexpr std::chrono::milliseconds connectTimeout{250};

}

std::shared_ptr<UpstreamConnectionPool> singleCallPool(boost::asio::io_context &io, const NetworkAddress &upstream)
{
    return std::make_shared<UpstreamConnectionPool>(io, upstream.address, upstream.port, ConnectionPoolOptions{connectTimeout, 0});
}

}
