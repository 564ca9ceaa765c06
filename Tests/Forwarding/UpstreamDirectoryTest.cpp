#include "Forwarding/UpstreamDirectory.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;

namespace {

const UpstreamId id("u");

ListedUpstream entry(bool leaving = false)
{
    ListedUpstream upstream;
    upstream.entry.id = id;
    upstream.entry.dataCentre = DataCentreId("dc");
    upstream.leaving = leaving;
    return upstream;
}

}

TEST_GROUP(UpstreamDirectoryTest){};

// Guards against work for an upstream that announced that it leaves.
TEST(UpstreamDirectoryTest, ALeavingUpstreamIsNotUsed)
{
    UpstreamDirectory directory;
    directory.listed(entry());
    CHECK(directory.mayUse(id));
    directory.listed(entry(true));
    CHECK_FALSE(directory.mayUse(id));
}

// Guards against work for a data centre that the operator took out of service, and against one that stays out for ever.
TEST(UpstreamDirectoryTest, ADataCentreOutOfServiceIsNotUsedUntilItIsBack)
{
    UpstreamDirectory directory;
    directory.listed(entry());
    directory.setOutOfService({DataCentreId("dc")});
    CHECK_FALSE(directory.mayUse(id));
    CHECK_FALSE(directory.entries().front().accepting);
    directory.setOutOfService({});
    CHECK(directory.mayUse(id));
}

// Guards against losing every upstream when their entries lapse while the list cannot be written.
TEST(UpstreamDirectoryTest, EntriesThatLapsedInAnOutageAreKeptUntilTheyCanBeBack)
{
    UpstreamDirectory directory;
    TimePoint now;
    directory.listed(entry());
    directory.listRecovered(now);
    directory.removed(id, now);
    CHECK(directory.mayUse(id));
    now += milliseconds(2600);
    CHECK(directory.expire(now));
    CHECK_FALSE(directory.mayUse(id));
}

// Guards against using an upstream that left while the list was in order.
TEST(UpstreamDirectoryTest, ARemovedUpstreamIsNotUsed)
{
    UpstreamDirectory directory;
    directory.listed(entry());
    directory.removed(id, TimePoint());
    CHECK_FALSE(directory.mayUse(id));
    LONGS_EQUAL(0, directory.size());
}

// Guards against refusing a place on an upstream that another host has heard of first.
TEST(UpstreamDirectoryTest, AnUnknownUpstreamMayBeUsed)
{
    const UpstreamDirectory directory;
    CHECK(directory.mayUse(id));
}

// Guards against any order of listings, removals, outages of the list and data centres out of service that leaves an upstream in use which has
// announced that it leaves, or whose data centre is out of service, or which was removed while the list was sound.
TEST(UpstreamDirectoryTest, NoOrderOfChangesKeepsALeavingUpstreamInUse)
{
    enum Change : std::uint8_t { List, Leave, Remove, TakeOut, PutBack, ReturnList, Wait, ChangeCount };
    Mangofall::Testing::checkProperty("leaving, removed and out-of-service upstreams are not used", [](const std::vector<std::uint8_t> &changes) {
        UpstreamDirectory directory;
        TimePoint now;
        directory.listed(entry());
        bool usable = true; // As the newest listing or removal has it; unknown while a removal may be a lapse.
        bool lapsed = false;
        bool outOfService = false;
        for (const std::uint8_t drawn : changes) {
            switch (drawn % ChangeCount) {
            case List:
            case Leave:
                directory.listed(entry(drawn % ChangeCount == Leave));
                usable = drawn % ChangeCount == List;
                lapsed = false;
                break;
            case Remove:
                directory.removed(id, now);
                lapsed = lapsed || usable;
                usable = false;
                break;
            case TakeOut:
            case PutBack:
                outOfService = drawn % ChangeCount == TakeOut;
                directory.setOutOfService(outOfService ? std::set<DataCentreId>{DataCentreId("dc")} : std::set<DataCentreId>{});
                break;
            case ReturnList:
                directory.listRecovered(now);
                break;
            default:
                // Longer than lapsed entries may be kept.
                now += std::chrono::seconds(4);
                directory.expire(now);
                lapsed = false;
            }
            if (outOfService || (!usable && !lapsed)) {
                RC_ASSERT_FALSE(directory.mayUse(id));
            } else if (usable) {
                RC_ASSERT(directory.mayUse(id));
            }
        }
    });
}
