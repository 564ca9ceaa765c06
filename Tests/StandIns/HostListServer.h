#pragma once

#include "Base/Time.h"
#include "StandIns/HttpServer.h"

#include <deque>
#include <map>
#include <string>

namespace Mangofall::StandIns {

/**
 * \class HostListServer
 * \brief Stand-in for the platform's host list over HTTP; `GET /hosts` shows each change after a configurable delay.
 *
 * `PUT /hosts/<id>` takes `{"address": ..., "dataCentre": ..., "state": "live" | "leaving" | "gone"}`; `gone` removes the host. `POST /control` takes
 * `{"lag_ms": N, "outage": bool}`; during an outage, connections are closed without an answer.
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
        std::string entry; ///< JSON object of the host; an empty string removes the host.
    };

    HttpResponse answer(const HttpRequest &request);
    HttpResponse list();
    HttpResponse put(const HttpRequest &request, const std::string &id);
    HttpResponse control(const HttpRequest &request);
    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest &request);

    std::map<std::string, std::string> m_visibleEntries;
    std::deque<Change> m_pendingChanges;
    std::chrono::milliseconds m_visibilityDelay{0};
    bool m_outage = false;
    std::uint64_t m_listCalls = 0;
    HttpServer m_server;
};

}
