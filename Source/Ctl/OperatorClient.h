#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Store/HttpCallResult.h"

#include <string>

namespace Mangofall {

/**
 * \class OperatorClient
 * \brief Blocking calls to the operators' listener of one daemon.
 */
class OperatorClient
{
public:
    /// \p key is sent as bearer token.
    OperatorClient(NetworkAddress server, std::string key, Duration timeout);

    HttpCallResult get(const std::string &target) const;
    /// Not repeated on its own, so the change may have reached the daemon if there is no response.
    HttpCallResult post(const std::string &target, const std::string &body) const;

private:
    NetworkAddress m_server;
    std::string m_key;
    Duration m_timeout;
};

}
