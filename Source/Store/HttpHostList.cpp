#include "Store/HttpHostList.h"

#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Mangofall {

namespace http = boost::beast::http;

namespace {

constexpr std::array<EnumName<HostListState>, 2> hostListStates = {{
    {"live", HostListState::Live},
    {"leaving", HostListState::Leaving},
}};

}

std::optional<std::vector<HostListEntry>> decodeHostList(std::string_view text)
{
    ConfigurationProblems problems;
    const std::optional<nlohmann::json> document = parseJsonText(text, problems);
    if (!document.has_value() || !document->is_array()) {
        return std::nullopt;
    }
    std::vector<HostListEntry> entries;
    for (const nlohmann::json &element : *document) {
        HostListEntry &entry = entries.emplace_back();
        JsonObjectReader reader(element, {}, problems);
        reader.id("id", entry.id);
        reader.text("address", entry.address, filePathRule);
        reader.id("dataCentre", entry.dataCentre);
        reader.choice<HostListState>("state", entry.state, hostListStates);
    }
    return problems.empty() ? std::optional(std::move(entries)) : std::nullopt;
}

HttpHostList::HttpHostList(boost::asio::io_context &context, NetworkAddress server)
    : m_context(context)
    , m_pool(context, std::move(server))
{
}

void HttpHostList::list(Duration timeout, ListHandler handler)
{
    boost::asio::co_spawn(m_context, fetch(timeout, std::move(handler)), boost::asio::detached);
}

boost::asio::awaitable<void> HttpHostList::fetch(Duration timeout, ListHandler handler)
{
    HttpConnectionPool::Request request;
    request.method(http::verb::get);
    request.target("/hosts");
    const HttpCallResult result = co_await m_pool.call(std::move(request), timeout, true);
    const bool answered = result.response.has_value() && result.response->result() == http::status::ok;
    handler(answered ? decodeHostList(result.response->body()) : std::nullopt);
}

}
