#include "Runner.h"

#include <array>
#include <cstdio>
#include <utility>

namespace Review {

namespace {

constexpr Milliseconds heartbeatInterval{1200};
constexpr int statusMisdirected = 421;

}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

Runner::Runner(RunnerPlace place, PlatformStore &store, Record &record, int receiveBuffer)
    : m_place(std::move(place))
    , m_store(store)
    , m_record(record)
    , m_receiveBuffer(receiveBuffer)
    , m_born(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
}

Runner::~Runner() = default;

void Runner::start()
{
    m_server = std::make_unique<Server>(
        m_place.ip,
        [this](HttpConnection &connection) {
            serve(connection);
        },
        m_receiveBuffer);
    m_heartbeats = std::thread([this]() {
        sendHeartbeats();
    });
}

void Runner::removeEntry()
{
    endHeartbeats();
    m_store.remove("servers/" + m_place.id);
}

void Runner::stop()
{
    endHeartbeats();
    m_server.reset();
}

void Runner::endHeartbeats()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_stopped.notify_all();
    if (m_heartbeats.joinable()) {
        m_heartbeats.join();
    }
}

std::size_t Runner::readingRate() const
{
    return 0;
}

Milliseconds Runner::coldRemaining() const
{
    return {};
}

void Runner::publish()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_publishNow = true;
    }
    m_stopped.notify_all();
}

void Runner::received(const HttpHead &head)
{
    static_cast<void>(head);
}

const std::string &Runner::id() const
{
    return m_place.id;
}

Record &Runner::record()
{
    return m_record;
}

std::string Runner::answerHead(const HttpHead &request, int status, bool executed) const
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Runner\r\nAttempt-Id: " + request.field("attempt-id") + "\r\n";
    head += executed ? "Response-Signature: " + m_place.id + "." + request.field("attempt-id") + "\r\n" : std::string("Not-Executed: 1\r\n");
    head += "Instance-Load: " + std::to_string(m_running) + ",0," + std::to_string(m_place.slots) + "\r\n";
    return head;
}

void Runner::serve(HttpConnection &connection)
{
    while (const std::optional<HttpHead> head = connection.readHead()) {
        const std::string target = head->field("target-instance");
        if (target == m_place.id) {
            received(*head);
        }
        if (connection.skipBody(*head, readingRate()) != BodyEnd::Complete) {
            return;
        }
        if (!target.empty() && target != m_place.id) {
            connection.socket().sendAll(answerHead(*head, statusMisdirected, false) + "Content-Length: 0\r\n\r\n");
            continue;
        }
        ++m_running;
        const bool keepOpen = answer(connection, *head);
        --m_running;
        if (!keepOpen) {
            return;
        }
    }
}

void Runner::sendHeartbeats()
{
    std::unique_lock lock(m_mutex);
    for (std::uint64_t sequence = 1; !m_stopping; ++sequence) {
        nlohmann::json entry = nlohmann::json::object();
        entry["service"] = m_place.service;
        entry["address"] = m_server->address().text();
        entry["zone"] = m_place.zone;
        entry["version"] = "v1";
        entry["slots"] = m_place.slots;
        entry["state"] = "ready";
        entry["cold_remaining_ms"] = coldRemaining().count();
        entry["born"] = m_born;
        entry["sequence"] = sequence;
        m_store.put("servers/" + m_place.id, entry.dump());
        m_stopped.wait_for(lock, heartbeatInterval, [this]() {
            return m_stopping || m_publishNow;
        });
        m_publishNow = false;
    }
}

}
