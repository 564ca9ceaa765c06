#include "Forwarding/MemoryReservationSet.h"

#include "FakeEngineMemoryClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Property.h"

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
        acquired = co_await reservationSet->acquire();
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
