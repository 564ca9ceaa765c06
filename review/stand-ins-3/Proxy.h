#pragma once

#include "Threads.h"
#include "Wire.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/**
 * \class Proxy
 * \brief The way from one host to a port of another one. While it is cut, nothing passes in either direction; what was sent meanwhile
 * arrives afterwards, as TCP repeats it.
 */
class Proxy
{
public:
    Proxy(std::string address, std::uint16_t port);
    ~Proxy();

    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Address and port at which the first host reaches the other one.
    std::string address() const;
    void setCut(bool cut);
    /// The connections that are open now pass nothing any more, for good and without a reset; new ones work.
    void silenceOpen();

private:
    void accept();
    void connect(const std::shared_ptr<Connection> &near, unsigned generation);
    void pass(const std::shared_ptr<Connection> &from, const std::shared_ptr<Connection> &to, unsigned generation);
    void waitForPassage() const;
    void keep(const std::shared_ptr<Connection> &connection);

    std::string m_address;
    std::uint16_t m_port;
    Listener m_listener;
    std::atomic<bool> m_cut{false};
    std::atomic<unsigned> m_generation{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    Threads m_threads;
    std::thread m_acceptor;
};

}
