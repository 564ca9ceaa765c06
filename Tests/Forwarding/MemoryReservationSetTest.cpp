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

std::vector<MemoryReservation> tickets()
{
    return {{UpstreamId("c"), {}, "t", 10}, {UpstreamId("a"), {}, "t", 10}, {UpstreamId("b"), {}, "t", 10}};
}

// Acquires and releases; returns whether everything was held.
bool play(FakeEngineMemoryClient &engineMemory)
{
    boost::asio::io_context io(1);
    bool held = false;
    const auto hold = std::make_shared<MemoryReservationSet>(io, engineMemory, tickets());
    const auto run = [&]() -> boost::asio::awaitable<void> {
        held = co_await hold->acquire();
        hold->release();
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    return held;
}

using Sent = std::vector<std::string>;

}

TEST_GROUP(MemoryHoldTest){};

// Guards against two prompts that each hold what the other needs: all hosts reserve in the order of the ids.
TEST(MemoryHoldTest, ReservesInOneOrderAndReleasesEverything)
{
    FakeEngineMemoryClient engineMemory;
    CHECK(play(engineMemory));
    CHECK(engineMemory.sent == (Sent{"reserve a", "reserve b", "reserve c", "release a", "release b", "release c"}));
}

// Guards against memory that stays set aside when one helper refuses, also where the refusal may be a lost answer.
TEST(MemoryHoldTest, ARefusalReleasesWhatWasTried)
{
    FakeEngineMemoryClient engineMemory;
    engineMemory.refuse = UpstreamId("b");
    CHECK_FALSE(play(engineMemory));
    CHECK(engineMemory.sent == (Sent{"reserve a", "reserve b", "release a", "release b"}));
}
