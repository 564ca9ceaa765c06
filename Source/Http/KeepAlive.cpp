#include "Http/KeepAlive.h"

#include <netinet/tcp.h>

namespace Mangofall {

namespace {

template<int Name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

}

void enableKeepAlive(boost::asio::ip::tcp::socket &socket, const KeepAliveTimes &times)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(static_cast<int>(times.idle.count())), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(static_cast<int>(times.interval.count())), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(times.probes), ignored);
}

}
