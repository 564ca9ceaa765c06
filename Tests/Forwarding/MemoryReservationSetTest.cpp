#include "Forwarding/MemoryReservationSet.h"

#include "FakeEngineMemoryClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Property.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using Mangofall::Testing::FakeEngineMemoryClient;

namespace {

std::vector<MemoryReservation> reservations()
{
    return {{UpstreamId("c"), {}, "t", 10}, {UpstreamId("a"), {}, "t", 10}, {UpstreamId("b"), {}, "t", 10}};
}

// Acquires and releases all reservations; returns whether all were made.
bool acquireAndRelease(FakeEngineMemoryClient &engineMemory)
{
    boost::asio::io_context io(1);
    bool acquired = false;
    const auto reservationSet = std::make_shared<MemoryReservationSet>(io, engineMemory, reservations());
    const auto run = [&]() -> boost::asio::awaitable<void> {
        acquired = co_await reservationSet->acquire(std::chrono::steady_clock::now() + std::chrono::seconds(1));
        reservationSet->release();
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    return acquired;
}

using Sent = std::vector<std::string>;

}

TEST_GROUP(MemoryReservationSetTest){};

// Guards against two prompts that each hold what the other needs: all hosts reserve in the order of the ids.
TEST(MemoryReservationSetTest, ReservesInOneOrderAndReleasesEverything)
{
    FakeEngineMemoryClient engineMemory;
    CHECK(acquireAndRelease(engineMemory));
    CHECK(engineMemory.sent == (Sent{"reserve a", "reserve b", "reserve c", "release a", "release b", "release c"}));
}

// Guards against memory that stays reserved after one helper refused. The refused reservation is released too, because its answer may have been lost.
TEST(MemoryReservationSetTest, ARefusalReleasesWhatWasRequested)
{
    FakeEngineMemoryClient engineMemory;
    engineMemory.refuse = UpstreamId("b");
    CHECK_FALSE(acquireAndRelease(engineMemory));
    CHECK(engineMemory.sent == (Sent{"reserve a", "reserve b", "release a", "release b"}));
}

// Guards against a prompt that waits without end, past its deadline, because a helper does not answer.
TEST(MemoryReservationSetTest, AHelperThatDoesNotAnswerEndsTheWaitAtTheDeadline)
{
    FakeEngineMemoryClient engineMemory;
    engineMemory.silent = UpstreamId("b");
    CHECK_FALSE(acquireAndRelease(engineMemory));
    CHECK(std::find(engineMemory.sent.begin(), engineMemory.sent.end(), "release a") != engineMemory.sent.end());
    LONGS_EQUAL(0, std::count(engineMemory.sent.begin(), engineMemory.sent.end(), "reserve c"));
}

// Guards against a request whose caller has left and that still waits for a helper, and against memory that a call under way reserves after the release.
TEST(MemoryReservationSetTest, AReleaseEndsTheWaitAndIsRepeatedForTheCallUnderWay)
{
    FakeEngineMemoryClient engineMemory;
    engineMemory.silent = UpstreamId("a");
    boost::asio::io_context io(1);
    const auto reservationSet = std::make_shared<MemoryReservationSet>(io, engineMemory, reservations());
    std::vector<std::string> sentAtTheEnd;
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
        const bool acquired = co_await reservationSet->acquire(std::chrono::steady_clock::now() + std::chrono::milliseconds(200));
        CHECK_FALSE(acquired);
        sentAtTheEnd = engineMemory.sent;
    };
    boost::asio::co_spawn(io, acquire, boost::asio::detached);
    boost::asio::post(io, [&]() {
        reservationSet->release();
    });
    io.run();
    CHECK(sentAtTheEnd.size() <= 2);
    CHECK(engineMemory.sent == (Sent{"reserve a", "release a", "release a"}));
}

// Guards against memory that lapses because the renewal at another helper takes long.
TEST(MemoryReservationSetTest, ASlowHelperDoesNotDelayTheRenewalAtTheOthers)
{
    FakeEngineMemoryClient engineMemory;
    boost::asio::io_context io(1);
    const auto reservationSet = std::make_shared<MemoryReservationSet>(io, engineMemory, reservations());
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
        co_await reservationSet->acquire(std::chrono::steady_clock::now() + std::chrono::seconds(1));
        engineMemory.silent = UpstreamId("a");
    };
    boost::asio::co_spawn(io, acquire, boost::asio::detached);
    io.run_for(std::chrono::milliseconds(1300));
    reservationSet->release();
    LONGS_EQUAL(2, std::count(engineMemory.sent.begin(), engineMemory.sent.end(), "reserve c"));
    io.run();
}
