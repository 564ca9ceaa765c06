#include "Property.h"

#include "StandIns/HostListServer.h"
#include "StandIns/StoreServer.h"
#include "Store/FakeKeyValueStore.h"
#include "Store/HttpHostList.h"
#include "Store/HttpKeyValueStore.h"

#include <boost/asio/co_spawn.hpp>

#include <optional>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

// Far longer than a call on loopback takes, so that only a lost answer runs into it.
constexpr Duration longTimeout = 30s;

template<class Result>
struct ResultWaiter {
    boost::asio::io_context &context;
    std::optional<Result> result;

    auto handler()
    {
        return [this](const Result &value) {
            result = value;
        };
    }

    const Result &wait()
    {
        while (!result.has_value()) {
            context.run_one();
        }
        return *result;
    }
};

StandIns::HttpResponse
sendRequest(boost::asio::io_context &context, std::uint16_t port, const std::string &target, const std::string &body, boost::beast::http::verb method)
{
    HttpConnectionPool pool(context, {"127.0.0.1", port});
    HttpConnectionPool::Request request;
    request.method(method);
    request.target(target);
    request.body() = body;
    ResultWaiter<HttpCallResult> waiter{context, {}};
    boost::asio::co_spawn(context, pool.call(request, longTimeout, false), [&](const std::exception_ptr &, HttpCallResult result) {
        waiter.result = std::move(result);
    });
    return waiter.wait().response.value();
}

struct StoreFixture {
    boost::asio::io_context context;
    StandIns::StoreServer server{context, 0};
    HttpKeyValueStore store{context, {"127.0.0.1", server.port()}};

    StoreFixture()
    {
        server.start();
    }

    StoreReadDone get(const std::string &key)
    {
        ResultWaiter<StoreReadDone> waiter{context, {}};
        store.get(key, longTimeout, waiter.handler());
        return waiter.wait();
    }

    StoreWriteDone put(const std::string &key, const std::string &value, std::uint64_t expectedVersion)
    {
        ResultWaiter<StoreWriteDone> waiter{context, {}};
        store.compareAndSwap(key, value, expectedVersion, longTimeout, waiter.handler());
        return waiter.wait();
    }

    void injectFault(const std::string &body)
    {
        sendRequest(context, server.port(), "/control", body, boost::beast::http::verb::post);
    }
};

}

TEST_GROUP(HttpKeyValueStoreTest){};

// Guards against mapping a response of the store to the wrong outcome, in particular reporting a write whose answer was lost as not applied.
TEST(HttpKeyValueStoreTest, MapsTheStoresAnswers)
{
    StoreFixture fixture;
    CHECK(fixture.get("a/b").status == StoreReadStatus::Missing);
    const StoreWriteDone created = fixture.put("a/b", "one", 0);
    CHECK(created.status == StoreWriteStatus::Applied && created.version > 0);
    const StoreWriteDone conflict = fixture.put("a/b", "two", 0);
    CHECK(conflict.status == StoreWriteStatus::Conflict && conflict.version == created.version);
    const StoreReadDone read = fixture.get("a/b");
    CHECK(read.status == StoreReadStatus::Found && read.value == "one" && read.version == created.version);
    CHECK(fixture.put("big", std::string(1'100'000, 'x'), 0).status == StoreWriteStatus::NotApplied);

    fixture.injectFault(R"({"lose_write_answers": 1})");
    CHECK(fixture.put("a/b", "lost", created.version).status == StoreWriteStatus::Unknown);
    CHECK(fixture.get("a/b").value == "lost");
    fixture.injectFault(R"({"outage": true})");
    CHECK(fixture.get("a/b").status == StoreReadStatus::Failed);
    CHECK(fixture.put("a/b", "no", 0).status == StoreWriteStatus::Unknown);
    fixture.injectFault(R"({"outage": false})");
    CHECK(fixture.get("a/b").value == "lost");
}

// Guards against a watch that misses a change or never ends, and against a lease that is reported as held after the store has ended it.
TEST(HttpKeyValueStoreTest, WatchesAndLeases)
{
    StoreFixture fixture;
    const std::uint64_t version = fixture.put("k", "one", 0).version;
    ResultWaiter<StoreReadDone> unchanged{fixture.context, {}};
    fixture.store.watch("k", version, 20ms, unchanged.handler());
    CHECK(unchanged.wait().status == StoreReadStatus::Unchanged || unchanged.wait().status == StoreReadStatus::Failed);
    ResultWaiter<StoreReadDone> changed{fixture.context, {}};
    fixture.store.watch("k", version, longTimeout, changed.handler());
    fixture.put("k", "two", version);
    CHECK(changed.wait().status == StoreReadStatus::Found && changed.wait().value == "two");

    ResultWaiter<std::optional<std::string>> lease{fixture.context, {}};
    fixture.store.createLease(60s, longTimeout, lease.handler());
    const std::string id = lease.wait().value();
    ResultWaiter<LeaseStatus> held{fixture.context, {}};
    fixture.store.renewLease(id, longTimeout, held.handler());
    CHECK(held.wait() == LeaseStatus::Held);
    fixture.injectFault(R"({"reset_lease": ")" + id + R"("})");
    ResultWaiter<LeaseStatus> expired{fixture.context, {}};
    fixture.store.renewLease(id, longTimeout, expired.handler());
    CHECK(expired.wait() == LeaseStatus::Expired);
}

// Guards against reporting a write as possibly applied although no connection to the server could be opened.
TEST(HttpKeyValueStoreTest, AWriteThatWasNeverSentIsNotApplied)
{
    boost::asio::io_context context;
    std::uint16_t closedPort = 0;
    {
        StandIns::StoreServer server(context, 0);
        closedPort = server.port();
    }
    HttpKeyValueStore store(context, {"127.0.0.1", closedPort});
    ResultWaiter<StoreWriteDone> waiter{context, {}};
    store.compareAndSwap("k", "v", 0, longTimeout, waiter.handler());
    CHECK(waiter.wait().status == StoreWriteStatus::NotApplied);
}

// Guards against decoding a malformed host list as an empty one, which would remove all hosts.
TEST(HttpKeyValueStoreTest, ListsHosts)
{
    boost::asio::io_context context;
    StandIns::HostListServer server(context, 0);
    server.start();
    HttpHostList list(context, {"127.0.0.1", server.port()});
    sendRequest(context, server.port(), "/hosts/h1", R"({"address": "10.0.0.1", "dataCentre": "poa", "state": "leaving"})", boost::beast::http::verb::put);
    ResultWaiter<std::optional<std::vector<HostListEntry>>> waiter{context, {}};
    list.list(longTimeout, waiter.handler());
    const std::vector<HostListEntry> expected{{HostId("h1"), "10.0.0.1", DataCentreId("poa"), HostListState::Leaving}};
    CHECK(waiter.wait() == expected);
    for (const char *text : {"", "{}", "[{}]", R"([{"id":"a","address":"x","dataCentre":"d","state":"gone"}])"}) {
        CHECK_TEXT(!decodeHostList(text).has_value(), text);
    }
    CHECK(decodeHostList("[]")->empty());
}

// Guards against a fake store whose answers differ from those of the HTTP adapter.
TEST(HttpKeyValueStoreTest, FakeStoreFollowsTheSameRules)
{
    Testing::FakeKeyValueStore store;
    std::vector<StoreWriteStatus> writes;
    std::vector<StoreReadDone> reads;
    const auto onWrite = [&](const StoreWriteDone &done) {
        writes.push_back(done.status);
    };
    const auto onRead = [&](const StoreReadDone &done) {
        reads.push_back(done);
    };
    store.watch("k", 0, 1s, onRead);
    store.compareAndSwap("k", "one", 0, 1s, onWrite);
    CHECK(writes.empty());
    store.completeAllCalls();
    CHECK(reads.size() == 1 && reads.front().value == "one");
    store.loseWriteAnswers(1);
    store.compareAndSwap("k", "two", reads.front().version, 1s, onWrite);
    store.compareAndSwap("k", "three", reads.front().version, 1s, onWrite);
    store.completeAllCalls();
    store.setOutage(true);
    store.get("k", 1s, onRead);
    store.completeAllCalls();
    CHECK(reads.back().status == StoreReadStatus::Failed);
    const std::vector<StoreWriteStatus> expected{StoreWriteStatus::Applied, StoreWriteStatus::Unknown, StoreWriteStatus::Conflict};
    CHECK(writes == expected);
    STRCMP_EQUAL("two", store.state().find("k")->bytes.c_str());
}
