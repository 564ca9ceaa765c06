#include "PlatformStore.h"

#include <algorithm>

namespace Review {

namespace {

using nlohmann::json;

constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxPageBytes = 1'000'000;
constexpr Milliseconds expiryInterval{100};
const std::string storeAddress = "127.0.0.1";

std::string percentDecode(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::strtoul(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

/// The value of a parameter of a query; empty if there is none.
std::string parameter(const std::string &query, const std::string &name)
{
    const std::string wanted = name + "=";
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        if (query.compare(begin, wanted.size(), wanted) == 0) {
            return percentDecode(query.substr(begin + wanted.size(), end - begin - wanted.size()));
        }
        begin = end + 1;
    }
    return {};
}

std::uint64_t lastNumber(const std::string &path)
{
    return numberOf(path.substr(path.rfind('/') + 1));
}

}

PlatformStore::PlatformStore(Milliseconds history)
    : m_history(history)
{
    addDoor();
}

PlatformStore::~PlatformStore()
{
    for (const auto &door : m_doors) {
        door->listener.close();
    }
    for (std::thread &acceptor : m_acceptors) {
        acceptor.join();
    }
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock()) {
                connection->shutDown();
            }
        }
    }
    m_changed.notify_all();
    m_threads.joinAll();
}

std::string PlatformStore::address() const
{
    return storeAddress + ":" + std::to_string(m_doors.front()->listener.port());
}

std::string PlatformStore::addDoor()
{
    Door &door = *m_doors.emplace_back(new Door{Listener(storeAddress), {}, {}});
    m_acceptors.emplace_back([this, &door]() {
        accept(door);
    });
    return storeAddress + ":" + std::to_string(door.listener.port());
}

void PlatformStore::setView(const std::string &door, View view)
{
    if (Door *known = findDoor(door)) {
        known->view = std::move(view);
    }
}

void PlatformStore::setTurningAway(const std::string &door, bool turningAway)
{
    if (Door *known = findDoor(door)) {
        known->turningAway = turningAway;
    }
}

PlatformStore::Door *PlatformStore::findDoor(const std::string &address)
{
    for (const auto &known : m_doors) {
        if (address.ends_with(":" + std::to_string(known->listener.port()))) {
            return known.get();
        }
    }
    return nullptr;
}

void PlatformStore::applyView(const View &view, json &items)
{
    for (json &item : items) {
        if (item.contains("value")) {
            item["value"] = encodeBase64(view(item["key"].get<std::string>(), decodeBase64(item["value"].get<std::string>())));
        }
    }
}

std::uint64_t PlatformStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    write(key, value, 0);
    return m_revision;
}

void PlatformStore::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

std::set<std::string> PlatformStore::keys(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> result;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix)) {
            result.insert(key);
        }
    }
    return result;
}

std::size_t PlatformStore::largestWatchAnswer()
{
    const std::lock_guard lock(m_mutex);
    return m_largestWatchAnswer;
}

std::size_t PlatformStore::goneAnswers()
{
    const std::lock_guard lock(m_mutex);
    return m_goneAnswers;
}

void PlatformStore::accept(Door &door)
{
    while (std::shared_ptr<Connection> connection = door.listener.accept()) {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto &weak) {
            return weak.expired();
        });
        m_connections.push_back(connection);
        m_threads.run([this, &door, connection]() {
            serve(door, *connection);
        });
    }
}

void PlatformStore::serve(Door &door, Connection &connection)
{
    while (const std::optional<Message> request = connection.readMessage()) {
        Answer result = door.turningAway ? Answer{503} : answer(*request);
        if (door.turningAway) {
            result = {503};
        }
        for (const char *list : {"items", "events"}) {
            if (door.view && result.body.contains(list)) {
                applyView(door.view, result.body[list]);
            }
        }
        const std::string body = result.body.dump();
        if (request->startLine.find("/v1/kv-watch") != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            m_largestWatchAnswer = std::max(m_largestWatchAnswer, body.size());
            m_goneAnswers += result.status == 410 ? 1 : 0;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(result.status)
            + " Answer\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!connection.write(head + body)) {
            break;
        }
    }
    connection.shutDown();
}

PlatformStore::Answer PlatformStore::answer(const Message &request)
{
    const std::size_t begin = request.startLine.find(' ') + 1;
    const std::string target = request.startLine.substr(begin, request.startLine.find(' ', begin) - begin);
    const std::string path = target.substr(0, target.find('?'));
    const std::string query = target.size() > path.size() ? target.substr(path.size() + 1) : std::string();
    if (path == "/v1/kv-watch") {
        return watch(query);
    }
    const std::lock_guard lock(m_mutex);
    expire();
    if (path == "/v1/kv-range") {
        return range(query);
    }
    if (path == "/v1/kv-key") {
        const auto item = m_items.find(parameter(query, "key"));
        if (item == m_items.end()) {
            return {404};
        }
        json body = describe(item->first, item->second);
        body["as_of"] = m_revision;
        return {200, body};
    }
    if (path == "/v1/kv-txn") {
        return transact(request.body);
    }
    if (path == "/v1/kv-lease") {
        return createLease(request.body);
    }
    const auto lease = m_leases.find(lastNumber(path));
    if (lease == m_leases.end()) {
        return {404};
    }
    if (path.starts_with("/v1/kv-keep/")) {
        lease->second.end = Clock::now() + lease->second.time;
        return {200, {{"ttl_ms", lease->second.time.count()}}};
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
        endLease(lease->first);
        return {};
    }
    return {404};
}

PlatformStore::Answer PlatformStore::range(const std::string &query)
{
    const std::string prefix = parameter(query, "path_prefix");
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto item = m_items.upper_bound(parameter(query, "after")); item != m_items.end() && !more; ++item) {
        if (!item->first.starts_with(prefix)) {
            continue;
        }
        more = items.size() >= maxPageItems || bytes >= maxPageBytes;
        if (!more) {
            items.push_back(describe(item->first, item->second));
            bytes += item->second.value.size();
        }
    }
    return {200, {{"items", items}, {"more_pages", more}, {"as_of", m_revision}}};
}

PlatformStore::Answer PlatformStore::watch(const std::string &query)
{
    const std::string prefix = parameter(query, "path_prefix");
    const std::uint64_t after = numberOf(parameter(query, "after"));
    const TimePoint end = Clock::now() + Milliseconds(numberOf(parameter(query, "wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        expire();
        if (after < m_firstKnown || after > m_revision) {
            return {410};
        }
        json events = json::array();
        for (const Change &change : m_changes) {
            if (change.revision <= after || !change.key.starts_with(prefix)) {
                continue;
            }
            events.push_back(change.removed ? json{{"key", change.key}, {"revision", change.revision}, {"removed", true}} : describe(change.key, change.item));
        }
        if (!events.empty() || Clock::now() >= end || m_stopping) {
            return {200, {{"events", events}, {"as_of", m_revision}}};
        }
        m_changed.wait_until(lock, std::min(end, Clock::now() + expiryInterval));
    }
}

PlatformStore::Answer PlatformStore::transact(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    json failed = json::array();
    for (const json &row : body.value("precondition", json::array())) {
        const auto item = m_items.find(row.value("key", ""));
        if ((item == m_items.end() ? 0 : item->second.revision) != row.value("revision", 0ULL)) {
            failed.push_back(item == m_items.end() ? json{{"key", row.value("key", "")}} : describe(item->first, item->second));
        }
    }
    if (!failed.empty()) {
        return {412, {{"items", failed}}};
    }
    for (const json &entry : body.value("set_keys", json::array())) {
        const std::uint64_t lease = entry.value("lease", 0ULL);
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404};
        }
        const std::string key = entry.value("key", "");
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403};
        }
        write(key, decodeBase64(entry.value("value", "")), lease);
    }
    for (const json &key : body.value("remove", json::array())) {
        erase(key.get<std::string>());
    }
    return {200, {{"revision", m_revision}}};
}

PlatformStore::Answer PlatformStore::createLease(const std::string &text)
{
    const Milliseconds time(json::parse(text, nullptr, false).value("ttl_ms", 1000));
    m_leases[++m_lastLease] = {time, Clock::now() + time};
    return {200, {{"lease", m_lastLease}, {"ttl_ms", time.count()}}};
}

void PlatformStore::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = m_items[key];
    ++m_revision;
    item = {value, m_revision, item.created == 0 ? m_revision : item.created, lease};
    m_changes.push_back({key, item, false, m_revision, Clock::now()});
    m_changed.notify_all();
}

void PlatformStore::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_changes.push_back({key, {}, true, m_revision, Clock::now()});
        m_changed.notify_all();
    }
}

void PlatformStore::endLease(std::uint64_t id)
{
    std::vector<std::string> bound;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id) {
            bound.push_back(key);
        }
    }
    m_leases.erase(id);
    for (const std::string &key : bound) {
        erase(key);
    }
}

// Leases whose time has passed end, and changes that are older than the history are forgotten.
void PlatformStore::expire()
{
    const TimePoint now = Clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (now >= lease.end) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        endLease(id);
    }
    while (!m_changes.empty() && m_changes.front().at + m_history < now) {
        m_firstKnown = m_changes.front().revision;
        m_changes.pop_front();
    }
}

json PlatformStore::describe(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", encodeBase64(item.value)}, {"revision", item.revision}, {"create_revision", item.created}, {"lease", item.lease}};
}

}
