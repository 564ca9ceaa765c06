#include "PlatformStore.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <vector>

namespace Review {

namespace {

using nlohmann::json;

constexpr Milliseconds leaseCheckInterval{100};
constexpr std::size_t itemsPerPage = 500;
constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int hexadecimalBase = 16;

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const std::uint32_t byte = index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0;
            group = group << 8U | byte;
        }
        text += base64Digits[group >> 18U & 63U];
        text += base64Digits[group >> 12U & 63U];
        text += index + 1 < bytes.size() ? base64Digits[group >> 6U & 63U] : '=';
        text += index + 2 < bytes.size() ? base64Digits[group & 63U] : '=';
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const std::size_t digit = base64Digits.find(character);
        if (digit == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::strtoul(text.substr(index + 1, 2).c_str(), nullptr, hexadecimalBase));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

/// The value of a field of the query; empty if there is none.
std::string queryField(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string field = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (field.starts_with(name + "=")) {
            return decodePercent(field.substr(name.size() + 1));
        }
        begin = end;
    }
    return {};
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

}

PlatformStore::PlatformStore(const std::string &ip)
    : m_leaseThread([this]() {
        expireLeases();
    })
    , m_server(ip, [this](HttpConnection &connection) {
        serve(connection);
    })
{
}

PlatformStore::~PlatformStore()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_leaseThread.join();
    m_server.stop();
}

const Address &PlatformStore::address() const
{
    return m_server.address();
}

void PlatformStore::put(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(m_mutex);
    write(key, value, 0);
}

void PlatformStore::remove(const std::string &key)
{
    const std::scoped_lock lock(m_mutex);
    erase(key);
}

void PlatformStore::serve(HttpConnection &connection)
{
    while (const std::optional<HttpHead> head = connection.readHead()) {
        std::string body;
        if (connection.readBody(*head, body) != BodyEnd::Complete) {
            return;
        }
        const Answer result = answer(*head, body);
        const std::string text = result.body.dump();
        const std::string bytes = "HTTP/1.1 " + std::to_string(result.status)
            + " Store\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
        if (!connection.socket().sendAll(bytes)) {
            return;
        }
    }
}

PlatformStore::Answer PlatformStore::answer(const HttpHead &head, const std::string &body)
{
    const std::string target = head.target();
    const std::uint64_t lastNumber = number(target.substr(target.rfind('/') + 1));
    const json document = json::parse(body, nullptr, false);
    if (target.starts_with("/v1/kv-key")) {
        return readKey(queryField(target, "key"));
    }
    if (target.starts_with("/v1/kv-range")) {
        return readRange(queryField(target, "path_prefix"), queryField(target, "after"));
    }
    if (target.starts_with("/v1/kv-watch")) {
        return watch(queryField(target, "path_prefix"), number(queryField(target, "after")), Milliseconds(number(queryField(target, "wait_ms"))));
    }
    if (target == "/v1/kv-txn") {
        return transact(document);
    }
    if (target == "/v1/kv-lease") {
        return createLease(document);
    }
    if (target.starts_with("/v1/kv-keep/")) {
        return renewLease(lastNumber);
    }
    if (target.starts_with("/v1/kv-lease-end/")) {
        return endLease(lastNumber);
    }
    return {404};
}

PlatformStore::Answer PlatformStore::readKey(const std::string &key)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_items.contains(key)) {
        return {404};
    }
    Answer result{200, describe(key)};
    result.body["as_of"] = m_revision;
    return result;
}

PlatformStore::Answer PlatformStore::readRange(const std::string &prefix, const std::string &after)
{
    const std::scoped_lock lock(m_mutex);
    Answer result;
    result.body["items"] = json::array();
    result.body["more_pages"] = false;
    result.body["as_of"] = m_revision;
    for (auto item = m_items.upper_bound(after); item != m_items.end(); ++item) {
        if (!item->first.starts_with(prefix)) {
            continue;
        }
        if (result.body["items"].size() == itemsPerPage) {
            result.body["more_pages"] = true;
            break;
        }
        result.body["items"].push_back(describe(item->first));
    }
    return result;
}

PlatformStore::Answer PlatformStore::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&]() {
        return m_stopping || changedAfter(prefix, after);
    });
    Answer result;
    result.body["events"] = json::array();
    result.body["as_of"] = m_revision;
    // Of several changes of a key the last one stands for all.
    std::set<std::string> described;
    std::vector<json> events;
    for (auto change = m_history.rbegin(); change != m_history.rend() && change->revision > after; ++change) {
        if (change->key.starts_with(prefix) && described.insert(change->key).second) {
            events.push_back(describe(change->key));
            events.back()["revision"] = change->revision;
        }
    }
    std::reverse(events.begin(), events.end());
    result.body["events"] = events;
    return result;
}

PlatformStore::Answer PlatformStore::transact(const json &body)
{
    const std::scoped_lock lock(m_mutex);
    if (!body.is_object()) {
        return {400};
    }
    Answer conflict{412};
    bool holds = true;
    for (const json &row : body.value("precondition", json::array())) {
        const std::string key = row.value("key", "");
        const auto item = m_items.find(key);
        holds = holds && row.value("revision", std::uint64_t{0}) == (item == m_items.end() ? 0 : item->second.revision);
        conflict.body["items"].push_back(describe(key));
    }
    if (!holds) {
        return conflict;
    }
    for (const json &entry : body.value("set_keys", json::array())) {
        const std::string key = entry.value("key", "");
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403};
        }
        const std::uint64_t lease = entry.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404};
        }
    }
    for (const json &entry : body.value("set_keys", json::array())) {
        write(entry.value("key", ""), decodeBase64(entry.value("value", "")), entry.value("lease", std::uint64_t{0}));
    }
    for (const json &key : body.value("remove", json::array())) {
        erase(key.get<std::string>());
    }
    Answer result;
    result.body["revision"] = m_revision;
    return result;
}

PlatformStore::Answer PlatformStore::createLease(const json &body)
{
    const std::scoped_lock lock(m_mutex);
    const Milliseconds timeToLive(body.is_object() ? body.value("ttl_ms", 0) : 0);
    m_leases[++m_lastLease] = {timeToLive, Clock::now() + timeToLive};
    Answer result;
    result.body["lease"] = m_lastLease;
    result.body["ttl_ms"] = timeToLive.count();
    return result;
}

PlatformStore::Answer PlatformStore::renewLease(std::uint64_t id)
{
    const std::scoped_lock lock(m_mutex);
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return {404};
    }
    lease->second.endsAt = Clock::now() + lease->second.timeToLive;
    Answer result;
    result.body["ttl_ms"] = lease->second.timeToLive.count();
    return result;
}

PlatformStore::Answer PlatformStore::endLease(std::uint64_t id)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_leases.contains(id)) {
        return {404};
    }
    eraseLease(id);
    return {};
}

void PlatformStore::expireLeases()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, leaseCheckInterval, [this]() {
            return m_stopping;
        });
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (Clock::now() >= lease.endsAt) {
                ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended) {
            eraseLease(id);
        }
    }
}

void PlatformStore::write(const std::string &key, std::string value, std::uint64_t lease)
{
    Item &item = m_items[key];
    item.value = std::move(value);
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_history.push_back({m_revision, key});
    m_changed.notify_all();
}

void PlatformStore::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({++m_revision, key});
        m_changed.notify_all();
    }
}

void PlatformStore::eraseLease(std::uint64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        erase(key);
    }
}

bool PlatformStore::changedAfter(const std::string &prefix, std::uint64_t revision) const
{
    for (auto change = m_history.rbegin(); change != m_history.rend() && change->revision > revision; ++change) {
        if (change->key.starts_with(prefix)) {
            return true;
        }
    }
    return false;
}

json PlatformStore::describe(const std::string &key) const
{
    json entry = json::object();
    entry["key"] = key;
    const auto item = m_items.find(key);
    if (item == m_items.end()) {
        entry["removed"] = true;
        entry["revision"] = 0;
        return entry;
    }
    entry["value"] = encodeBase64(item->second.value);
    entry["revision"] = item->second.revision;
    entry["create_revision"] = item->second.created;
    entry["lease"] = item->second.lease;
    return entry;
}

}
