#pragma once

#include "Base/Time.h"
#include "StandIns/HttpServer.h"

#include <deque>
#include <map>
#include <string>

namespace Mangofall::StandIns {

/**
 * \class HostListServer
 * \brief The platform's host list over HTTP; `GET /hosts` shows changes after a lag.
 *
 * `PUT /hosts/<id>` takes `{"address": ..., "dataCentre": ..., "state": "live" | "leaving" | "gone"}`; `gone` removes the host. `POST /control` takes
 * `{"lag_ms": N, "outage": bool}`; an outage closes connections without an answer.
 */
class HostListServer
{
public:
    HostListServer(boost::asio::io_context &context, std::uint16_t port);

    std::uint16_t port() const;
    void start();

private:
    struct Change {
        TimePoint visibleAt;
        std::string id;
        std::string entry; ///< JSON; empty removes the host.
    };

    HttpResponse answer(const HttpRequest &request);
    HttpResponse list();
    HttpResponse put(const HttpRequest &request, const std::string &id);
    HttpResponse control(const HttpRequest &request);
    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest &request);

    std::map<std::string, std::string> m_visible;
    std::deque<Change> m_changes;
    std::chrono::milliseconds m_lag{0};
    bool m_outage = false;
    std::uint64_t m_listCalls = 0;
    HttpServer m_server;
};

}
