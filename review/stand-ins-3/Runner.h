#pragma once

#include "PlatformStore.h"
#include "Threads.h"
#include "Wire.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

/**
 * \class Runner
 * \brief A sound stand-in for a runner: lists itself, checks Target-Instance, and leaves the answer to a request to the case.
 */
class Runner
{
public:
    /// Answers a request; the connection is closed after it.
    using Handler = std::function<void(Runner &runner, Connection &connection, const Message &request)>;

    struct Setup {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 16;
    };

    Runner(Setup setup, PlatformStore &store, Handler handler);
    ~Runner();

    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    const std::string &id() const;
    const std::string &address() const;

    /// Writes the entry of the runner with that state, ready or draining.
    void publish(const std::string &state);
    /// Becomes cold for that time, and says so in its entry.
    void becomeCold(Milliseconds time);
    void unlist();

    /// Ends all connections with a reset and refuses new ones for \p time; then starts again under its id.
    void crash(Milliseconds time);
    bool alive() const;

    /// The head of an answer to \p request, up to but without the empty line.
    std::string head(const Message &request, unsigned status) const;

private:
    void accept(const std::shared_ptr<Listener> &listener);
    void serve(const std::shared_ptr<Connection> &connection);

    Setup m_setup;
    PlatformStore &m_store;
    Handler m_handler;
    std::string m_address;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_running{0};
    std::atomic<bool> m_alive{true};
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    Milliseconds m_coldTime{0};
    std::shared_ptr<Listener> m_listener;
    std::vector<std::weak_ptr<Connection>> m_connections;
    Threads m_threads;
};

}
