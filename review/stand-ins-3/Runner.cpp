#include "Runner.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace Review {

namespace {

const std::string runnerAddress = "127.0.0.1";

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

}

Runner::Runner(Setup setup, PlatformStore &store, Handler handler)
    : m_setup(std::move(setup))
    , m_store(store)
    , m_handler(std::move(handler))
    , m_born(unixMilliseconds())
    , m_listener(std::make_shared<Listener>(runnerAddress))
{
    m_port = m_listener->port();
    m_address = runnerAddress + ":" + std::to_string(m_port);
    m_threads.run([this, listener = m_listener]() {
        accept(listener);
    });
    publish("ready");
}

Runner::~Runner()
{
    m_stopping = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener) {
            m_listener->close();
        }
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock()) {
                connection->shutDown();
            }
        }
    }
    m_threads.joinAll();
}

const std::string &Runner::id() const
{
    return m_setup.id;
}

const std::string &Runner::address() const
{
    return m_address;
}

void Runner::publish(const std::string &state)
{
    nlohmann::json entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = {{"service", m_setup.service},
                 {"address", m_address},
                 {"zone", m_setup.zone},
                 {"version", "v1"},
                 {"slots", m_setup.slots},
                 {"state", state},
                 {"cold_remaining_ms", m_coldTime.count()},
                 {"sequence", ++m_sequence},
                 {"born", m_born}};
    }
    m_store.put("servers/" + m_setup.id, entry.dump());
}

void Runner::becomeCold(Milliseconds time)
{
    {
        const std::lock_guard lock(m_mutex);
        m_coldTime = time;
    }
    publish("ready");
}

void Runner::unlist()
{
    m_store.remove("servers/" + m_setup.id);
}

void Runner::crash(Milliseconds time)
{
    if (!m_alive.exchange(false)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_listener->close();
    m_listener.reset();
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->reset();
        }
    }
    m_connections.clear();
    m_threads.run([this, time]() {
        const TimePoint back = Clock::now() + time;
        while (Clock::now() < back && !m_stopping) {
            std::this_thread::sleep_for(Milliseconds(20));
        }
        if (m_stopping) {
            return;
        }
        {
            const std::lock_guard restarting(m_mutex);
            if (m_stopping) {
                return;
            }
            m_born = unixMilliseconds();
            m_sequence = 0;
            m_listener = std::make_shared<Listener>(runnerAddress, m_port);
            m_threads.run([this, listener = m_listener]() {
                accept(listener);
            });
        }
        m_alive = true;
        publish("ready");
    });
}

bool Runner::alive() const
{
    return m_alive;
}

std::string Runner::head(const Message &request, unsigned status) const
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nAttempt-Id: " + field(request, "attempt-id") + "\r\nInstance-Id: " + m_setup.id
        + "\r\nInstance-Load: " + std::to_string(m_running.load()) + ",0," + std::to_string(m_setup.slots) + "\r\n";
}

void Runner::accept(const std::shared_ptr<Listener> &listener)
{
    while (std::shared_ptr<Connection> connection = listener->accept()) {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto &weak) {
            return weak.expired();
        });
        m_connections.push_back(connection);
        m_threads.run([this, connection]() {
            serve(connection);
        });
    }
}

void Runner::serve(const std::shared_ptr<Connection> &connection)
{
    const std::optional<Message> request = connection->readMessage();
    if (!request || !m_alive) {
        return;
    }
    const std::string expected = field(*request, "target-instance");
    if (!expected.empty() && expected != m_setup.id) {
        connection->write(head(*request, 421) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    if (request->startLine.starts_with("POST /v1/order ")) {
        connection->write("HTTP/1.1 200 Answer\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"free\":1}  ");
        return;
    }
    ++m_running;
    m_handler(*this, *connection, *request);
    --m_running;
}

}
