#include "SilencingProxy.h"

#include <array>
#include <thread>
#include <utility>

namespace Review {

namespace {

constexpr Milliseconds connectTimeout{1000};
constexpr std::size_t bufferBytes = 64UL * 1024;

}

SilencingProxy::SilencingProxy(const std::string &ip, Address target)
    : m_target(std::move(target))
    , m_server(ip, [this](HttpConnection &connection) {
        serve(connection);
    })
{
}

const Address &SilencingProxy::address() const
{
    return m_server.address();
}

void SilencingProxy::silence()
{
    ++m_generation;
}

void SilencingProxy::serve(HttpConnection &connection)
{
    const std::uint64_t generation = m_generation;
    Socket target = Socket::connectTo(m_target, connectTimeout);
    if (!target.valid()) {
        return;
    }
    std::thread answers([&]() {
        pump(target, connection.socket(), generation);
        connection.socket().shutdown();
    });
    pump(connection.socket(), target, generation);
    target.shutdown();
    answers.join();
}

void SilencingProxy::pump(Socket &from, Socket &to, std::uint64_t generation) const
{
    std::array<char, bufferBytes> data;
    while (true) {
        const std::ptrdiff_t count = from.receive(data.data(), data.size());
        if (count <= 0) {
            return;
        }
        const bool silent = generation != m_generation;
        if (!silent && !to.sendAll({data.data(), static_cast<std::size_t>(count)})) {
            return;
        }
    }
}

}
