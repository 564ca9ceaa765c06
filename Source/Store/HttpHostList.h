#pragma once

#include "Store/HostList.h"
#include "Store/HttpConnectionPool.h"

namespace Mangofall {

/**
 * \class HttpHostList
 * \brief Fetches the platform's host list over HTTP. Not thread-safe: only one thread may run the io_context.
 *
 * The object must outlive its calls: stop the io_context before destroying it.
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

/// Decodes the response body of `GET /hosts`; returns nothing if the document or one of its entries is malformed. Unknown fields are ignored, as
/// the platform may add some.
std::optional<std::vector<HostListEntry>> decodeHostList(std::string_view text);

}
