#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>

namespace Mangofall {
struct NetworkAddress;
class UpstreamConnectionPool;
}

namespace Mangofall::Forwarding {

/// A connection pool for one call to an upstream. The call uses a new connection that is not reused, so that late bytes of another call cannot end up in
/// its answer.
std::shared_ptr<UpstreamConnectionPool> singleCallPool(boost::asio::io_context &io, const NetworkAddress &upstream);

}
