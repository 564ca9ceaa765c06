#include "Soak/SoakStore.h"

#include "Base64.h"
#include "JsonFields.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr unsigned httpVersion = 11;
constexpr std::chrono::milliseconds leaseCheckInterval{100};

SoakStore::Response reply(Http::status status, const json &body)
{
    SoakStore::Response response(status, httpVersion);
    response.set(Http::field::content_type, "application/json");
    response.body() = body.dump();
    response.prepare_payload();
    return response;
}

/// The number after "name=" in a query; 0 if there is none.
std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t position = target.find(name + "=");
    return position == std::string::npos ? 0 : std::strtoull(target.c_str() + position + name.size() + 1, nullptr, 10);
}

/// The text after "name=" in a query; empty if there is none.
std::string queryText(const std::string &target, const std::string &name)
{
    const std::size_t position = target.find(name + "=");
    if (position == std::string::npos) {
        return {};
    }
    const std::size_t start = position + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::uint64_t lastNumber(const std::string &target)
{
    return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
}

}

SoakStore::SoakStore(Asio::io_context &io, Rewriter rewriter)
    : m_io(io)
    , m_rewriter(std::move(rewriter))
    , m_server(io, [this](std::shared_ptr<Socket> socket) {
        return serve(std::move(socket));
    })
{
    Asio::co_spawn(io, expireLeases(), Asio::detached);
}

std::uint16_t SoakStore::port() const
{
    return m_server.port();
}

void SoakStore::put(const std::string &key, const std::string &value)
{
    write(key, value, 0);
}

void SoakStore::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        recordChange(key);
    }
}

void SoakStore::setDown(bool down)
{
    m_down = down;
    if (!down) {
        restartLeases();
    }
}

void SoakStore::saveCopy()
{
    m_copy = {m_items, m_leases, m_revision, m_lastLease};
}

void SoakStore::restoreCopy()
{
    m_items = m_copy.items;
    m_leases = m_copy.leases;
    m_revision = m_copy.revision;
    m_lastLease = m_copy.lastLease;
    restartLeases();
    m_history.clear();
    m_compactedRevision = m_revision;
    m_era += m_era == 0 ? 0 : 1;
    wakeWatches();
    m_server.resetConnections();
}

void SoakStore::setEra(std::uint64_t era)
{
    m_era = era;
}

std::vector<std::string> SoakStore::keys(const std::string &prefix) const
{
    std::vector<std::string> result;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix)) {
            result.push_back(key);
        }
    }
    return result;
}

void SoakStore::addLeases(std::uint64_t count, std::chrono::milliseconds timeToLive)
{
    for (std::uint64_t number = 0; number < count; ++number) {
        m_leases[++m_lastLease] = {timeToLive, Clock::now() + timeToLive};
    }
}

bool SoakStore::hasLease(std::uint64_t lease) const
{
    return m_leases.contains(lease);
}

std::uint64_t SoakStore::leaseOf(const std::string &key) const
{
    const auto item = m_items.find(key);
    return item == m_items.end() ? 0 : item->second.lease;
}

void SoakStore::restartLeases()
{
    for (auto &[id, lease] : m_leases) {
        lease.endsAt = Clock::now() + lease.timeToLive;
    }
}

void SoakStore::compactHistory()
{
    m_history.clear();
    m_compactedRevision = ++m_revision;
    m_server.resetConnections();
}

Asio::awaitable<void> SoakStore::serve(std::shared_ptr<Socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        Request request;
        const auto [readError, read] = co_await Http::async_read(*socket, buffer, request, awaitTuple);
        if (readError) {
            co_return;
        }
        Response response = co_await answer(request);
        if (m_era != 0) {
            response.set("Store-Era", std::to_string(m_era));
        }
        response.keep_alive(true);
        const auto [writeError, written] = co_await Http::async_write(*socket, response, awaitTuple);
        if (writeError) {
            co_return;
        }
    }
}

Asio::awaitable<SoakStore::Response> SoakStore::answer(const Request &request)
{
    const std::string target(request.target());
    if (m_down) {
        co_return reply(Http::status::service_unavailable, json::object());
    }
    if (target.starts_with("/v1/kv-range")) {
        co_return range(queryText(target, "path_prefix"));
    }
    if (target.starts_with("/v1/kv-watch")) {
        const std::chrono::milliseconds wait(queryNumber(target, "wait_ms"));
        Response changes = co_await watch(queryNumber(target, "after"), wait);
        co_return changes;
    }
    if (target.starts_with("/v1/kv-txn")) {
        co_return transact(request.body());
    }
    if (target.starts_with("/v1/kv-lease-end/")) {
        endLease(lastNumber(target));
        co_return reply(Http::status::ok, json::object());
    }
    if (target.starts_with("/v1/kv-lease")) {
        co_return createLease(request.body());
    }
    if (target.starts_with("/v1/kv-keep/")) {
        co_return renewLease(lastNumber(target));
    }
    co_return reply(Http::status::not_found, json::object());
}

Asio::awaitable<SoakStore::Response> SoakStore::watch(std::uint64_t after, std::chrono::milliseconds wait)
{
    if (m_revision == after) {
        Asio::steady_timer timer(m_io, wait);
        m_watchTimers.push_back(&timer);
        co_await timer.async_wait(awaitTuple);
        m_watchTimers.remove(&timer);
    }
    if (after < m_compactedRevision || after > m_revision) {
        co_return reply(Http::status::gone, json::object());
    }
    json body = json::object();
    body["as_of"] = m_revision;
    body["events"] = json::array();
    for (const Change &change : m_history) {
        if (change.revision > after) {
            body["events"].push_back(describe(change.key));
            body["events"].back()["revision"] = change.revision;
        }
    }
    co_return reply(Http::status::ok, body);
}

Asio::awaitable<void> SoakStore::expireLeases()
{
    while (true) {
        Asio::steady_timer timer(m_io, leaseCheckInterval);
        co_await timer.async_wait(awaitTuple);
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (!m_down && Clock::now() >= lease.endsAt) {
                ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended) {
            endLease(id);
        }
    }
}

SoakStore::Response SoakStore::range(const std::string &prefix) const
{
    json body = json::object();
    body["as_of"] = m_revision;
    body["more_pages"] = false;
    body["items"] = json::array();
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix)) {
            body["items"].push_back(describe(key));
        }
    }
    return reply(Http::status::ok, body);
}

SoakStore::Response SoakStore::transact(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    for (const json &entry : Platform::arrayField(body, "set_keys")) {
        const std::uint64_t lease = Platform::countField(entry, "lease").value_or(0);
        if (lease != 0 && !m_leases.contains(lease)) {
            return reply(Http::status::not_found, json::object());
        }
        const std::string key = Platform::stringField(entry, "key").value_or(std::string());
        const std::string value = Platform::decodeBase64(Platform::stringField(entry, "value").value_or(std::string())).value_or(std::string());
        write(key, m_rewriter(key, value), lease);
    }
    json answer = json::object();
    answer["revision"] = m_revision;
    return reply(Http::status::ok, answer);
}

SoakStore::Response SoakStore::createLease(const std::string &text)
{
    const std::uint64_t timeToLive = Platform::countField(json::parse(text, nullptr, false), "ttl_ms").value_or(0);
    const std::chrono::milliseconds time(timeToLive);
    m_leases[++m_lastLease] = {time, Clock::now() + time};
    json answer = json::object();
    answer["lease"] = m_lastLease;
    answer["ttl_ms"] = timeToLive;
    return reply(Http::status::ok, answer);
}

SoakStore::Response SoakStore::renewLease(std::uint64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return reply(Http::status::not_found, json::object());
    }
    lease->second.endsAt = Clock::now() + lease->second.timeToLive;
    return reply(Http::status::ok, json::object());
}

void SoakStore::write(const std::string &key, std::string value, std::uint64_t lease)
{
    Item &item = m_items[key];
    item.value = std::move(value);
    item.lease = lease;
    recordChange(key);
    item.revision = m_revision;
}

void SoakStore::endLease(std::uint64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> removed;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id) {
            removed.push_back(key);
        }
    }
    for (const std::string &key : removed) {
        remove(key);
    }
}

void SoakStore::recordChange(const std::string &key)
{
    m_history.push_back({++m_revision, key});
    wakeWatches();
}

void SoakStore::wakeWatches()
{
    for (Asio::steady_timer *timer : m_watchTimers) {
        timer->cancel();
    }
}

json SoakStore::describe(const std::string &key) const
{
    json entry = json::object();
    entry["key"] = key;
    const auto item = m_items.find(key);
    if (item == m_items.end()) {
        entry["removed"] = true;
        return entry;
    }
    entry["value"] = Platform::encodeBase64(item->second.value);
    entry["revision"] = item->second.revision;
    entry["lease"] = item->second.lease;
    return entry;
}

}
