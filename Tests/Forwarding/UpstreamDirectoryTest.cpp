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
    directory.listReturned(now);
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
