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
 * \brief Order application that runs every POST it gets, so that a repeated order shows in its counts.
 *
 * A status call that answers "cannot run" bars the attempt named by x-attempt-id, or the whole key if that header is absent; a barred POST
 * that arrives later is refused.
 */
class OrderServer final : public UpstreamServer
{
public:
    OrderServer(boost::asio::io_context &context, std::uint16_t port, std::chrono::milliseconds restartTime);

protected:
    boost::asio::awaitable<void> handle(Connection &connection, HttpRequest &request) override;
    bool serving() const override;

private:
    using Attempt = std::pair<std::string, std::string>; ///< Key and attempt id; an empty id stands for all attempts.

    boost::asio::awaitable<void> handleOrder(Connection &connection, const HttpRequest &request);
    boost::asio::awaitable<void> delayOrder(Connection &connection, const HttpRequest &request, Attempt attempt);
    boost::asio::awaitable<void> runOrder(Connection &connection, const HttpRequest &request, const Attempt &attempt);
    boost::asio::awaitable<void> handleStatus(Connection &connection, const HttpRequest &request, const std::string &key);
    boost::asio::awaitable<void> handleControl(Connection &connection, const HttpRequest &request);
    void inject(const nlohmann::json &faults);
    bool barred(const Attempt &attempt) const;

    std::chrono::milliseconds m_restartTime;
    std::chrono::steady_clock::time_point m_servesFrom;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_answersToLose = 0;
    std::uint64_t m_ordersToRefuse = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_refused = 0;
    std::uint64_t m_lostAnswers = 0;
    std::map<std::string, std::uint64_t> m_runs; ///< Survives a crash, as an order book on disk does.
    std::multiset<Attempt> m_pending;
    std::set<Attempt> m_barred;
};

}
