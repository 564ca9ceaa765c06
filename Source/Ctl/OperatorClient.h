#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Store/HttpCallResult.h"

#include <string>

namespace Mangofall {

/**
 * \class OperatorClient
 * \brief Makes blocking HTTP requests to the operator listener of one daemon.
 */
class OperatorClient
{
public:
    /// \p key is sent as the bearer token of each request; \p timeout applies to each request.
    OperatorClient(NetworkAddress server, std::string key, Duration timeout);

    HttpCallResult get(const std::string &target) const;
    /// Sends the request once, without retries: the daemon may have received the change even if there is no response.
    HttpCallResult post(const std::string &target, const std::string &body) const;

private:
    NetworkAddress m_server;
    std::string m_key;
    Duration m_timeout;
};

}
