#pragma once

#include "Store/HttpConnectionPool.h"
#include "Store/KeyValueStore.h"

namespace Mangofall {

/**
 * \class HttpKeyValueStore
 * \brief Client of the platform's key-value store over HTTP. Not thread-safe: only one thread may run the io_context.
 *
 * Section 11 of the design page describes the protocol. The object must outlive its calls: stop the io_context before destroying it.
 */
class HttpKeyValueStore final : public KeyValueStore
{
public:
    HttpKeyValueStore(boost::asio::io_context &context, NetworkAddress server);

    void get(const std::string &key, Duration timeout, ReadHandler handler) override;
    void compareAndSwap(const std::string &key,
                        std::string value,
                        std::uint64_t expectedVersion,
                        Duration timeout,
                        WriteHandler handler,
                        const std::string &leaseId = {}) override;
    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout, ReadHandler handler) override;
    void createLease(std::chrono::milliseconds timeToLive, Duration timeout, LeaseHandler handler) override;
    void renewLease(const std::string &leaseId, Duration timeout, RenewHandler handler) override;

private:
    using ResultHandler = std::function<void(const HttpCallResult &)>;

    boost::asio::awaitable<void> performCall(HttpConnectionPool::Request request, Duration timeout, bool idempotent, ResultHandler handler);
    void startCall(HttpConnectionPool::Request request, Duration timeout, bool idempotent, ResultHandler handler);

    boost::asio::io_context &m_context;
    HttpConnectionPool m_pool;
};

}
