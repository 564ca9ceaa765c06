#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Soak/LoopbackServer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string_view>

namespace Mangofall::Soak {

/// What a proxy does to the bytes that pass it.
enum class LinkFault {
    None,
    Delayed, ///< Both directions, by FaultProxy::delay.
    CutToServer, ///< Bytes of the client vanish.
    CutToClient, ///< Bytes of the server vanish.
    Silent, ///< Bytes of both vanish; connections are still accepted.
    Reset, ///< Connections are reset, and so are new ones.
};

std::string_view name(LinkFault fault);

/**
 * \class FaultProxy
 * \brief Passes TCP connections on to a server and harms them as told.
 */
class FaultProxy
{
public:
    static constexpr std::chrono::milliseconds delay{120};

    /// \p target is asked at each new connection.
    FaultProxy(boost::asio::io_context &io, std::function<NetworkAddress()> target);

    std::uint16_t port() const;
    void setFault(LinkFault fault);
    LinkFault fault() const;

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> client);
    boost::asio::awaitable<void> pass(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, LinkFault cut);

    boost::asio::io_context &m_io;
    std::function<NetworkAddress()> m_target;
    LinkFault m_fault = LinkFault::None;
    LoopbackServer m_server;
};

}
