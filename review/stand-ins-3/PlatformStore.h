#pragma once

#include "Threads.h"
#include "Wire.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/**
 * \class PlatformStore
 * \brief A sound stand-in for the platform's metadata store, as PROTOCOL.md describes it: one revision counter, leases, watches, a bounded history.
 */
class PlatformStore
{
public:
    /// \p history is the time for which changes can be watched.
    explicit PlatformStore(Milliseconds history);
    ~PlatformStore();

    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    std::string address() const;
    /// A further address of the store for one host, so that the store can turn this host away.
    std::string addDoor();
    /// What the host at that address reads instead of the value of a key, so that it reaches other hosts through proxies.
    using View = std::function<std::string(const std::string &key, const std::string &value)>;
    void setView(const std::string &door, View view);
    /// While it is set, all calls at that address are answered with 503.
    void setTurningAway(const std::string &door, bool turningAway);

    /// Writes a key as the operator or a runner does; returns its revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Keys with that prefix.
    std::set<std::string> keys(const std::string &prefix);
    /// The largest body of an answer to a watch, and how often watches were answered with 410.
    std::size_t largestWatchAnswer();
    std::size_t goneAnswers();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::string key;
        Item item;
        bool removed = false;
        std::uint64_t revision = 0;
        TimePoint at;
    };
    struct Lease {
        Milliseconds time;
        TimePoint end;
    };
    struct Answer {
        unsigned status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    struct Door {
        Listener listener;
        std::atomic<bool> turningAway{false};
        View view;
    };

    void accept(Door &door);
    void serve(Door &door, Connection &connection);
    Door *findDoor(const std::string &address);
    Answer answer(const Message &request);
    static void applyView(const View &view, nlohmann::json &items);
    Answer range(const std::string &query);
    Answer watch(const std::string &query);
    Answer transact(const std::string &text);
    Answer createLease(const std::string &text);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void endLease(std::uint64_t id);
    void expire();
    static nlohmann::json describe(const std::string &key, const Item &item);

    Milliseconds m_history;
    std::vector<std::unique_ptr<Door>> m_doors;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_firstKnown = 1; ///< Changes after this revision can be watched.
    std::uint64_t m_lastLease = 0;
    std::size_t m_largestWatchAnswer = 0;
    std::size_t m_goneAnswers = 0;
    bool m_stopping = false;
    std::vector<std::weak_ptr<Connection>> m_connections;
    Threads m_threads;
    std::vector<std::thread> m_acceptors;
};

}
