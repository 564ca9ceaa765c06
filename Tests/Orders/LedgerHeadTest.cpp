#include "Orders/LedgerHead.h"

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;

namespace {

OrderRecord arbitraryRecord(bool resolved)
{
    using rc::gen::arbitrary;
    OrderRecord record;
    record.claim.key = OrderKey(*arbitrary<std::string>());
    record.claim.bodyHash = *arbitrary<std::string>();
    record.epoch = *arbitrary<std::uint64_t>();
    record.time = std::chrono::milliseconds(*arbitrary<std::int64_t>());
    if (resolved) {
        const bool ran = *arbitrary<bool>();
        record.resolution = OrderResolution{ran, static_cast<ResolutionSource>(*rc::gen::inRange(0, 4)), {}};
        if (ran) {
            record.resolution->outcome
                = {*arbitrary<int>(), *arbitrary<std::string>(), *arbitrary<std::string>(), *arbitrary<std::string>(), *arbitrary<bool>()};
        }
        return record;
    }
    record.claim.attempt = {*arbitrary<std::uint64_t>(), *arbitrary<std::uint64_t>(), *arbitrary<std::uint64_t>()};
    record.claim.organisation = OrganisationId(*arbitrary<std::string>());
    record.claim.service = ServiceId(*arbitrary<std::string>());
    record.claim.upstream = UpstreamId(*arbitrary<std::string>());
    record.claim.hasStatusCall = *arbitrary<bool>();
    record.claim.claimedAt = WallTime(std::chrono::milliseconds(*arbitrary<std::int64_t>()));
    return record;
}

}

TEST_GROUP(LedgerHeadTest){};

// Guards against a durable record that changes when the next owner reads it.
TEST(LedgerHeadTest, RecordsSurviveEncoding)
{
    Testing::checkProperty("records survive a round trip", [](bool resolved) {
        const OrderRecord record = arbitraryRecord(resolved);
        RC_ASSERT(decodeRecord(encodeRecord(record)) == record);
    });
}

// Guards against a damaged head that is taken for an empty one, which would forget all claims.
TEST(LedgerHeadTest, RejectsTruncatedHeads)
{
    Testing::checkProperty("no prefix of a head is a head", [](bool resolved) {
        const OrderRecord record = arbitraryRecord(resolved);
        LedgerHead head;
        head.epoch = 3;
        head.writer = "host/1";
        head.records.emplace(record.claim.key, encodeRecord(record));
        const std::string data = encodeHead(head);
        const std::optional<LedgerHead> same = decodeHead(data);
        RC_ASSERT(same && same->sameWrite(head) && same->records == head.records);
        RC_ASSERT(!decodeHead(data.substr(0, *rc::gen::inRange<std::size_t>(0, data.size()))));
    });
}
