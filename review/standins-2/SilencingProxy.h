#pragma once

#include "Server.h"

#include <atomic>
#include <cstdint>

namespace Review {

/**
 * \class SilencingProxy
 * \brief Passes connections on to one address. Those that are open at silence() carry nothing from then on and are not closed; new ones work.
 */
class SilencingProxy
{
public:
    SilencingProxy(const std::string &ip, Address target);

    const Address &address() const;
    void silence();

private:
    void serve(HttpConnection &connection);
    /// Passes bytes on until one end closes; drops them once the connection has been silenced.
    void pump(Socket &from, Socket &to, std::uint64_t generation) const;

    Address m_target;
    std::atomic<std::uint64_t> m_generation = 0; ///< Of new connections; older ones are silent.
    Server m_server;
};

}
