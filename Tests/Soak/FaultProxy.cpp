#include "Soak/FaultProxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::size_t bufferBytes = 16UL * 1024;

}

std::string_view name(LinkFault fault)
{
    switch (fault) {
    case LinkFault::None:
        return "none";
    case LinkFault::Delayed:
        return "delayed";
    case LinkFault::CutToServer:
        return "cut to the server";
    case LinkFault::CutToClient:
        return "cut to the client";
    case LinkFault::Silent:
        return "silent";
    case LinkFault::Reset:
        return "reset";
    }
    return "unknown";
}

FaultProxy::FaultProxy(Asio::io_context &io, std::function<NetworkAddress()> target)
    : m_io(io)
    , m_target(std::move(target))
    , m_server(io, [this](std::shared_ptr<Socket> client) {
        return serve(std::move(client));
    })
{
}

std::uint16_t FaultProxy::port() const
{
    return m_server.port();
}

void FaultProxy::setFault(LinkFault fault)
{
    m_fault = fault;
    m_server.refuse(fault == LinkFault::Reset);
    if (fault == LinkFault::Reset) {
        m_server.resetAll();
    }
}

LinkFault FaultProxy::fault() const
{
    return m_fault;
}

Asio::awaitable<void> FaultProxy::serve(std::shared_ptr<Socket> client)
{
    const NetworkAddress target = m_target();
    auto server = std::make_shared<Socket>(m_io);
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(target.address), target.port);
    const auto [error] = co_await server->async_connect(endpoint, awaitTuple);
    if (error) {
        resetConnection(*client);
        co_return;
    }
    server->set_option(Asio::ip::tcp::no_delay(true));
    Asio::co_spawn(m_io, pass(server, client, LinkFault::CutToClient), Asio::detached);
    co_await pass(client, server, LinkFault::CutToServer);
}

// Passes bytes on until one side ends; `cut` is the fault that makes bytes of this direction vanish.
Asio::awaitable<void> FaultProxy::pass(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, LinkFault cut)
{
    std::array<char, bufferBytes> buffer{};
    while (true) {
        const auto [readError, count] = co_await from->async_read_some(Asio::buffer(buffer), awaitTuple);
        if (readError) {
            break;
        }
        if (m_fault == cut || m_fault == LinkFault::Silent) {
            continue;
        }
        if (m_fault == LinkFault::Delayed) {
            Asio::steady_timer timer(m_io, delay);
            co_await timer.async_wait(awaitTuple);
        }
        const auto [writeError, written] = co_await Asio::async_write(*to, Asio::buffer(buffer.data(), count), awaitTuple);
        if (writeError || written != count) {
            break;
        }
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
}

}
