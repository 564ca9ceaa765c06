#pragma once

#include "StandIns/UpstreamServer.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Mangofall::StandIns {

/**
 * \class OrderServer
 * \brief Stand-in for an order application; it does not deduplicate orders, so an order that is sent twice is counted as two runs.
 *
 * A status call that answers "cannot run" blocks the attempt named by x-attempt-id, or the whole key if that header is absent; a blocked POST
 * that arrives later is refused.
 */
class OrderServer final : public UpstreamServer
{
public:
    OrderServer(boost::asio::io_context &context, std::uint16_t port, std::chrono::milliseconds restartDuration);

protected:
    boost::asio::awaitable<void> handle(Connection &connection, HttpRequest &request) override;
    bool serving() const override;

private:
    using Attempt = std::pair<std::string, std::string>; ///< Idempotency key and attempt id; an empty id stands for all attempts with that key.

    boost::asio::awaitable<void> handleOrder(Connection &connection, const HttpRequest &request);
    boost::asio::awaitable<void> delayOrder(Connection &connection, const HttpRequest &request, Attempt attempt);
    boost::asio::awaitable<void> runOrder(Connection &connection, const HttpRequest &request, const Attempt &attempt);
    boost::asio::awaitable<void> handleStatus(Connection &connection, const HttpRequest &request, const std::string &key);
    boost::asio::awaitable<void> handleControl(Connection &connection, const HttpRequest &request);
    void injectFaults(const nlohmann::json &faults);
    bool isBlocked(const Attempt &attempt) const;

    std::chrono::milliseconds m_restartDuration;
    std::chrono::steady_clock::time_point m_availableFrom;
    std::chrono::milliseconds m_orderDelay{0};
    std::uint64_t m_answersToLose = 0;
    std::uint64_t m_ordersToRefuse = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_refusedOrders = 0;
    std::uint64_t m_lostAnswers = 0;
    std::map<std::string, std::uint64_t> m_runsByKey; ///< Kept across a simulated crash, as an order database on disk would be.
    std::multiset<Attempt> m_pendingAttempts;
    std::set<Attempt> m_blockedAttempts;
};

}
