#pragma once

#include "Server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Review {

/**
 * \class PlatformStore
 * \brief Stand-in for the platform's metadata store: items, pages, watches, transactions and leases over HTTP.
 */
class PlatformStore
{
public:
    explicit PlatformStore(const std::string &ip);
    ~PlatformStore();

    const Address &address() const;

    /// Writes or removes an item without a lease, as the operator and the runners do.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct Lease {
        Milliseconds timeToLive{};
        Clock::time_point endsAt;
    };
    struct Answer {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void serve(HttpConnection &connection);
    Answer answer(const HttpHead &head, const std::string &body);
    Answer readKey(const std::string &key);
    Answer readRange(const std::string &prefix, const std::string &after);
    Answer watch(const std::string &prefix, std::uint64_t after, Milliseconds wait);
    Answer transact(const nlohmann::json &body);
    Answer createLease(const nlohmann::json &body);
    Answer renewLease(std::uint64_t id);
    Answer endLease(std::uint64_t id);
    void expireLeases();

    // The mutex is held by the caller of these.
    void write(const std::string &key, std::string value, std::uint64_t lease);
    void erase(const std::string &key);
    void eraseLease(std::uint64_t id);
    bool changedAfter(const std::string &prefix, std::uint64_t revision) const;
    nlohmann::json describe(const std::string &key) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    bool m_stopping = false;
    std::thread m_leaseThread;
    Server m_server;
};

}
