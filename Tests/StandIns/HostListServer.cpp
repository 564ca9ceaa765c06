#include "StandIns/HostListServer.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace Mangofall::StandIns {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr std::string_view hostPrefix = "/hosts/";

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

HttpResponse errorResponse(http::status status, std::string_view reason)
{
    return jsonResponse(status, json{{"error", reason}}.dump());
}

bool hasString(const json &object, const char *name)
{
    return object.contains(name) && object[name].is_string();
}

}

HostListServer::HostListServer(boost::asio::io_context &context, std::uint16_t port)
    : m_server(context, port, [this](const HttpRequest &request) {
        return handle(request);
    })
{
}

std::uint16_t HostListServer::port() const
{
    return m_server.port();
}

void HostListServer::start()
{
    m_server.start();
}

boost::asio::awaitable<std::optional<HttpResponse>> HostListServer::handle(const HttpRequest &request)
{
    if (m_outage && request.target() != "/control") {
        co_return std::nullopt;
    }
    co_return answer(request);
}

HttpResponse HostListServer::answer(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target == "/control") {
        return control(request);
    }
    if (target == "/hosts" && request.method() == http::verb::get) {
        return list();
    }
    if (target.starts_with(hostPrefix) && request.method() == http::verb::put) {
        return put(request, std::string(target.substr(hostPrefix.size())));
    }
    return errorResponse(http::status::not_found, "unknown path or method");
}

HttpResponse HostListServer::list()
{
    ++m_listCalls;
    while (!m_pendingChanges.empty() && m_pendingChanges.front().visibleAt <= now()) {
        const Change &change = m_pendingChanges.front();
        if (change.entry.empty()) {
            m_visibleEntries.erase(change.id);
        } else {
            m_visibleEntries[change.id] = change.entry;
        }
        m_pendingChanges.pop_front();
    }
    json hosts = json::array();
    for (const auto &[id, entry] : m_visibleEntries) {
        hosts.push_back(json::parse(entry));
    }
    return jsonResponse(http::status::ok, hosts.dump());
}

HttpResponse HostListServer::put(const HttpRequest &request, const std::string &id)
{
    json body = json::parse(request.body(), nullptr, false);
    const bool complete = body.is_object() && hasString(body, "address") && hasString(body, "dataCentre") && hasString(body, "state");
    const std::string state = complete ? body["state"].get<std::string>() : std::string();
    if (id.empty() || (state != "live" && state != "leaving" && state != "gone")) {
        return errorResponse(http::status::bad_request, "the body must have address, dataCentre and state (live, leaving or gone)");
    }
    body["id"] = id;
    m_pendingChanges.push_back({now() + m_visibilityDelay, id, state == "gone" ? std::string() : body.dump()});
    return jsonResponse(http::status::ok, "{}");
}

HttpResponse HostListServer::control(const HttpRequest &request)
{
    if (request.method() == http::verb::post) {
        const json body = json::parse(request.body(), nullptr, false);
        if (!body.is_object()) {
            return errorResponse(http::status::bad_request, "POST a JSON object");
        }
        for (const auto &[name, value] : body.items()) {
            if (name == "lag_ms" && value.is_number_unsigned()) {
                m_visibilityDelay = std::chrono::milliseconds(value.get<std::uint64_t>());
            } else if (name == "outage" && value.is_boolean()) {
                m_outage = value.get<bool>();
            } else {
                return errorResponse(http::status::bad_request, "unknown fault or wrong type: " + name);
            }
        }
    }
    return jsonResponse(http::status::ok, json{{"list_calls", m_listCalls}, {"lag_ms", m_visibilityDelay.count()}, {"outage", m_outage}}.dump());
}

}
