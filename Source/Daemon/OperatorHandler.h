#pragma once

#include "Http/HttpHandler.h"

#include <string>

namespace Mangofall {

class ControlPlane;
class HttpExchange;

/**
 * \class OperatorHandler
 * \brief Serves the operators' HTTP interface on the control thread.
 */
class OperatorHandler : public HttpHandler
{
public:
    /// \p key is the operators' bearer token; \p control must outlive the handler.
    OperatorHandler(ControlPlane &control, std::string key);

    boost::asio::awaitable<void> handle(HttpExchange &exchange) override;
    boost::asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) override;

private:
    boost::asio::awaitable<void> handleChange(HttpExchange &exchange);
    boost::asio::awaitable<void> handleResolve(HttpExchange &exchange);
    bool isAuthorised(const HttpExchange &exchange) const;

    ControlPlane &m_control;
    std::string m_key;
};

}
