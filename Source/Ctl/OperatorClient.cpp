#include "Ctl/OperatorClient.h"

#include "Store/HttpConnectionPool.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace Mangofall {

namespace http = boost::beast::http;

namespace {

HttpCallResult call(const NetworkAddress &server, const std::string &key, HttpConnectionPool::Request request, Duration timeout)
{
    boost::asio::io_context context(1);
    HttpConnectionPool pool(context, server);
    request.set(http::field::authorization, "Bearer " + key);
    HttpCallResult result;
    boost::asio::co_spawn(context, pool.call(std::move(request), timeout, false), [&](const std::exception_ptr &error, HttpCallResult callResult) {
        if (error == nullptr) {
            result = std::move(callResult);
        }
    });
    context.run();
    return result;
}

}

OperatorClient::OperatorClient(NetworkAddress server, std::string key, Duration timeout)
    : m_server(std::move(server))
    , m_key(std::move(key))
    , m_timeout(timeout)
{
}

HttpCallResult OperatorClient::get(const std::string &target) const
{
    HttpConnectionPool::Request request;
    request.method(http::verb::get);
    request.target(target);
    return call(m_server, m_key, std::move(request), m_timeout);
}

HttpCallResult OperatorClient::post(const std::string &target, const std::string &body) const
{
    HttpConnectionPool::Request request;
    request.method(http::verb::post);
    request.target(target);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    return call(m_server, m_key, std::move(request), m_timeout);
}

}
