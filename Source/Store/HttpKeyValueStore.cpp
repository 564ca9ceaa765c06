#include "Store/HttpKeyValueStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Mangofall {

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// The store is asked to end a watch this long before the call times out, so that an unchanged key is not mistaken for a lost response.
constexpr milliseconds watchAnswerMargin{500};

HttpConnectionPool::Request makeRequest(http::verb method, const std::string &target)
{
    HttpConnectionPool::Request request;
    request.method(method);
    request.target(target);
    return request;
}

std::uint64_t parseVersion(const HttpCallResult &result)
{
    const auto text = (*result.response)["x-version"];
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

StoreReadDone toReadDone(const std::string &key, const HttpCallResult &result)
{
    if (!result.response.has_value()) {
        return {key, StoreReadStatus::Failed, {}, 0};
    }
    switch (result.response->result()) {
    case http::status::ok:
        // Without its version, the value could not be replaced by compare-and-swap.
        return parseVersion(result) == 0 ? StoreReadDone{key, StoreReadStatus::Failed, {}, 0}
                                         : StoreReadDone{key, StoreReadStatus::Found, result.response->body(), parseVersion(result)};
    case http::status::no_content:
        return {key, StoreReadStatus::Unchanged, {}, 0};
    case http::status::not_found:
        return {key, StoreReadStatus::Missing, {}, 0};
    default:
        return {key, StoreReadStatus::Failed, {}, 0};
    }
}

StoreWriteDone toWriteDone(const std::string &key, const HttpCallResult &result)
{
    if (!result.response.has_value()) {
        return {key, result.possiblySent ? StoreWriteStatus::Unknown : StoreWriteStatus::NotApplied, 0};
    }
    switch (result.response->result()) {
    case http::status::ok:
        return {key, StoreWriteStatus::Applied, parseVersion(result)};
    case http::status::conflict:
        return {key, StoreWriteStatus::Conflict, parseVersion(result)};
    default:
        // A 4xx status means that the store refused the write before applying it. A 5xx status leaves open whether the write was applied.
        return {key, result.response->result_int() < 500 ? StoreWriteStatus::NotApplied : StoreWriteStatus::Unknown, 0};
    }
}

std::optional<std::string> parseLeaseId(const HttpCallResult &result)
{
    if (!result.response.has_value() || result.response->result() != http::status::ok) {
        return std::nullopt;
    }
    const json body = json::parse(result.response->body(), nullptr, false);
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string()) {
        return std::nullopt;
    }
    return body["id"].get<std::string>();
}

LeaseStatus toLeaseStatus(const HttpCallResult &result)
{
    if (!result.response.has_value()) {
        return LeaseStatus::Unknown;
    }
    if (result.response->result() == http::status::ok) {
        return LeaseStatus::Held;
    }
    return result.response->result() == http::status::not_found ? LeaseStatus::Expired : LeaseStatus::Unknown;
}

}

HttpKeyValueStore::HttpKeyValueStore(boost::asio::io_context &context, NetworkAddress server)
    : m_context(context)
    , m_pool(context, std::move(server))
{
}

boost::asio::awaitable<void> HttpKeyValueStore::performCall(HttpConnectionPool::Request request, Duration timeout, bool idempotent, ResultHandler handler)
{
    const HttpCallResult result = co_await m_pool.call(std::move(request), timeout, idempotent);
    handler(result);
}

void HttpKeyValueStore::startCall(HttpConnectionPool::Request request, Duration timeout, bool idempotent, ResultHandler handler)
{
    boost::asio::co_spawn(m_context, performCall(std::move(request), timeout, idempotent, std::move(handler)), boost::asio::detached);
}

void HttpKeyValueStore::get(const std::string &key, Duration timeout, ReadHandler handler)
{
    startCall(makeRequest(http::verb::get, "/kv/" + key), timeout, true, [key, handler = std::move(handler)](const HttpCallResult &result) {
        handler(toReadDone(key, result));
    });
}

void HttpKeyValueStore::compareAndSwap(
    const std::string &key, std::string value, std::uint64_t expectedVersion, Duration timeout, WriteHandler handler, const std::string &leaseId)
{
    HttpConnectionPool::Request request = makeRequest(http::verb::put, "/kv/" + key);
    request.set("x-expected-version", std::to_string(expectedVersion));
    if (!leaseId.empty()) {
        request.set("x-lease", leaseId);
    }
    request.body() = std::move(value);
    startCall(std::move(request), timeout, false, [key, handler = std::move(handler)](const HttpCallResult &result) {
        handler(toWriteDone(key, result));
    });
}

void HttpKeyValueStore::watch(const std::string &key, std::uint64_t afterVersion, Duration timeout, ReadHandler handler)
{
    const auto callTimeout = std::chrono::duration_cast<milliseconds>(timeout);
    const milliseconds serverWait = std::max(callTimeout / 2, callTimeout - watchAnswerMargin);
    const std::string target = "/watch/" + key + "?after=" + std::to_string(afterVersion) + "&wait_ms=" + std::to_string(serverWait.count());
    startCall(makeRequest(http::verb::get, target), timeout, true, [key, handler = std::move(handler)](const HttpCallResult &result) {
        handler(toReadDone(key, result));
    });
}

void HttpKeyValueStore::createLease(milliseconds timeToLive, Duration timeout, LeaseHandler handler)
{
    HttpConnectionPool::Request request = makeRequest(http::verb::post, "/leases");
    request.body() = json{{"ttl_ms", timeToLive.count()}}.dump();
    startCall(std::move(request), timeout, false, [handler = std::move(handler)](const HttpCallResult &result) {
        handler(parseLeaseId(result));
    });
}

void HttpKeyValueStore::renewLease(const std::string &leaseId, Duration timeout, RenewHandler handler)
{
    startCall(makeRequest(http::verb::put, "/leases/" + leaseId), timeout, true, [handler = std::move(handler)](const HttpCallResult &result) {
        handler(toLeaseStatus(result));
    });
}

}
