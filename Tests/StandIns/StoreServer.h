#pragma once

#include "StandIns/HttpServer.h"
#include "StandIns/StoreState.h"

#include <boost/asio/steady_timer.hpp>

#include <set>
#include <string>

namespace Mangofall::StandIns {

/**
 * \class StoreServer
 * \brief The platform's key-value store over HTTP, with faults and call counts on `/control`.
 *
 * Beyond section 11 of the design page: a successful `PUT` and a conflict carry `x-version`; `x-lease` binds a key to a lease; a watch that sees no
 * newer version within `wait_ms` (default 20 s) ends with 204; calls above the rate get 429; values above 1 MB get 413.
 */
class StoreServer
{
public:
    StoreServer(boost::asio::io_context &context, std::uint16_t port);

    std::uint16_t port() const;
    void start();

private:
    struct Faults {
        bool outage = false; ///< Connections are closed without an answer, waiting watches too.
        std::chrono::milliseconds delay{0}; ///< Before each call is applied.
        std::uint64_t loseWriteAnswers = 0; ///< Writes still to be applied without an answer.
    };

    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest &request);
    boost::asio::awaitable<std::optional<HttpResponse>> handleCall(const HttpRequest &request, StoreCallKind kind, std::string rest);
    boost::asio::awaitable<std::optional<HttpResponse>> watch(std::string query);
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
