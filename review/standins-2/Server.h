#pragma once

#include "HttpConnection.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace Review {

/**
 * \class Server
 * \brief Accepts connections and serves each on a thread of its own, which the destructor ends.
 */
class Server
{
public:
    using Handler = std::function<void(HttpConnection &)>;

    Server(const std::string &ip, Handler handler, int receiveBuffer = 0);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const Address &address() const;
    /// Ends all connections and accepts no more.
    void stop();

private:
    struct Connection {
        std::unique_ptr<HttpConnection> http;
        std::thread thread;
        std::atomic<bool> ended = false;
    };

    void acceptConnections();
    void removeEnded();

    Address m_address;
    Handler m_handler;
    Socket m_listener;
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

}
