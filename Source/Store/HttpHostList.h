#pragma once

#include "Store/HostList.h"
#include "Store/HttpConnectionPool.h"

namespace Mangofall {

/**
 * \class HttpHostList
 * \brief The platform's host list over HTTP; runs on one thread. It must outlive its calls: stop the io_context first.
 */
class HttpHostList final : public HostList
{
public:
    HttpHostList(boost::asio::io_context &context, NetworkAddress server);

    void list(Duration timeout, ListHandler handler) override;

private:
    boost::asio::awaitable<void> fetch(Duration timeout, ListHandler handler);

    boost::asio::io_context &m_context;
    HttpConnectionPool m_pool;
};

/// Decodes the answer of `GET /hosts`. Unknown fields are ignored, as the platform may add some; empty if an entry is malformed.
std::optional<std::vector<HostListEntry>> decodeHostList(std::string_view text);

}
