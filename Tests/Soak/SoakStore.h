#pragma once

#include "Base/Time.h"
#include "Soak/LoopbackServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall::Soak {

/**
 * \class SoakStore
 * \brief Stand-in for the platform's key-value store: items, watches with a limited history, transactions and leases over HTTP.
 *
 * It speaks only as much of the platform's protocol as hosts use.
 */
class SoakStore
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    /// Returns the value to store for a value that a host writes.
    using Rewriter = std::function<std::string(const std::string &key, std::string value)>;

    SoakStore(boost::asio::io_context &io, Rewriter rewriter);

    std::uint16_t port() const;

    /// Writes or removes an item without a lease, as the operator and upstreams do.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While the store is down, every new call is answered with status 503 and no lease expires; each lease starts anew when it is up again.
    void setDown(bool down);
    /// Saves a copy of all items, leases and revisions.
    void saveCopy();
    /// Goes back to the copy, as after a loss of the store: later writes are lost, revisions and lease numbers are reused, and the era increases. Leases of the
    /// copy start anew. All connections are reset.
    void restoreCopy();
    /// The era, which is in the header Store-Era of all answers; 0 if they are to have no such header.
    void setEra(std::uint64_t era);
    /// The keys that start with \p prefix.
    std::vector<std::string> keys(const std::string &prefix) const;
    /// Creates leases with the next numbers, as other hosts do.
    void addLeases(std::uint64_t count, std::chrono::milliseconds timeToLive);
    bool hasLease(std::uint64_t lease) const;
    /// The lease of \p key; 0 if the key does not exist or has none.
    std::uint64_t leaseOf(const std::string &key) const;
    /// Discards the history of changes, as a compaction does, and resets all connections. Watches from an earlier revision get status 410.
    void compactHistory();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct Lease {
        std::chrono::milliseconds timeToLive{};
        TimePoint endsAt;
    };
    /// What a copy holds.
    struct Copy {
        std::map<std::string, Item> items;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t lastLease = 0;
    };

    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);
    boost::asio::awaitable<Response> answer(const Request &request);
    boost::asio::awaitable<Response> watch(std::uint64_t after, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> expireLeases();
    Response range(const std::string &prefix) const;
    Response transact(const std::string &body);
    Response createLease(const std::string &body);
    Response renewLease(std::uint64_t id);
    void write(const std::string &key, std::string value, std::uint64_t lease);
    void endLease(std::uint64_t id);
    void recordChange(const std::string &key);
    void wakeWatches();
    /// Restarts the time to live of all leases.
    void restartLeases();
    nlohmann::json describe(const std::string &key) const;

    boost::asio::io_context &m_io;
    Rewriter m_rewriter;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::list<boost::asio::steady_timer *> m_watchTimers; ///< Timers of the waiting watches, cancelled at each change.
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_era = 1;
    Copy m_copy;
    bool m_down = false;
    LoopbackServer m_server;
};

}
