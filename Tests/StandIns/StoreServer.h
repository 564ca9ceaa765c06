#pragma once

#include "StandIns/HttpServer.h"
#include "StandIns/StoreState.h"

#include <boost/asio/steady_timer.hpp>

#include <set>
#include <string>

namespace Mangofall::StandIns {

/**
 * \class StoreServer
 * \brief Stand-in for the platform's key-value store over HTTP; `/control` injects faults and reports call counts.
 *
 * In addition to the protocol in section 11 of the design page: a successful `PUT` and a conflict carry `x-version`; `x-lease` binds a key to a lease; a watch
 * that sees no newer version within `wait_ms` (default 20 s) ends with 204; calls above the rate get 429; values above 1 MB get 413.
 */
class StoreServer
{
public:
    StoreServer(boost::asio::io_context &context, std::uint16_t port);

    std::uint16_t port() const;
    void start();

private:
    struct Faults {
        bool outage = false; ///< Closes every connection that makes a call, and those of waiting watches, without an answer.
        std::chrono::milliseconds delay{0}; ///< Delay before each call is applied.
        std::uint64_t loseWriteAnswers = 0; ///< Number of further writes that are applied but not answered.
    };

    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest &request);
    boost::asio::awaitable<std::optional<HttpResponse>> handleCall(const HttpRequest &request, StoreCallKind kind, std::string resource);
    boost::asio::awaitable<std::optional<HttpResponse>> watch(std::string keyAndQuery);
    HttpResponse get(const std::string &key) const;
    HttpResponse put(const HttpRequest &request, const std::string &key);
    HttpResponse createLease(const HttpRequest &request);
    HttpResponse renewLease(const std::string &id);
    HttpResponse control(const HttpRequest &request);
    std::string report() const;
    boost::asio::awaitable<void> expireLeases();
    void wakeWatches();

    StoreState m_state;
    Faults m_faults;
    std::set<boost::asio::steady_timer *> m_waitingWatches;
    boost::asio::io_context &m_context;
    HttpServer m_server;
};

}
