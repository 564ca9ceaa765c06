#include "Feed/WireFeed.h"

#include "Feed/FeedFixtures.h"
#include "Peer/PeerMessages_generated.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Feed;
using std::chrono::milliseconds;

namespace {

ItemPage page()
{
    ItemPage result;
    result.status = SourceStatus::Ok;
    result.items = {written("a", 5, std::string("x\0y", 3)), removal("b", 7)};
    result.era = 0x100000000;
    result.eraRevision = 3;
    result.revision = 9;
    result.more = true;
    result.age = milliseconds(120);
    result.failureAge = milliseconds(900);
    return result;
}

}

TEST_GROUP(WireFeedTest){};

// Guards against fields that are lost between two hosts.
TEST(WireFeedTest, APageSurvivesTheWire)
{
    const std::optional<ItemPage> decoded = fromWire(toWire(page(), 4));
    CHECK(decoded.has_value());
    LONGS_EQUAL(2, decoded->items.size());
    LONGS_EQUAL(3, decoded->items[0].value.size());
    CHECK(decoded->items[1].removed);
    CHECK(decoded->era == 0x100000000);
    LONGS_EQUAL(3, decoded->eraRevision);
    LONGS_EQUAL(9, decoded->revision);
    CHECK(decoded->more);
    CHECK(decoded->age == milliseconds(120));
    CHECK(decoded->failureAge == std::optional<Duration>(milliseconds(900)));
}

// Guards against a damaged answer that changes the view: unknown status, absent or impossible items.
TEST(WireFeedTest, ValuesOutOfRangeAreRefused)
{
    Wire::FeedAnswerT unknownStatus = toWire(page(), 1);
    unknownStatus.status = static_cast<Wire::FeedStatus>(17);
    CHECK_FALSE(fromWire(unknownStatus).has_value());
    Wire::FeedAnswerT absentItem = toWire(page(), 1);
    absentItem.items[0].reset();
    CHECK_FALSE(fromWire(absentItem).has_value());
    Wire::FeedAnswerT fromTheFuture = toWire(page(), 1);
    fromTheFuture.items[0]->revision = 10;
    CHECK_FALSE(fromWire(fromTheFuture).has_value());
    Wire::FeedAnswerT withoutKey = toWire(page(), 1);
    withoutKey.items[0]->key.clear();
    CHECK_FALSE(fromWire(withoutKey).has_value());
}

// Guards against a negative or very long time that wraps round on the wire and makes an old view look recent.
TEST(WireFeedTest, LongAgesAreCut)
{
    ItemPage old = page();
    old.age = std::chrono::hours(24 * 100);
    CHECK(fromWire(toWire(old, 1))->age > std::chrono::hours(24 * 40));
}
