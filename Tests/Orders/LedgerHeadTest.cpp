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

// Guards against a record whose content changes when it is encoded and the next owner decodes it.
TEST(LedgerHeadTest, RecordsSurviveEncoding)
{
    Testing::checkProperty("decoding an encoded record gives the same record", [](bool resolved) {
        const OrderRecord record = arbitraryRecord(resolved);
        RC_ASSERT(decodeRecord(encodeRecord(record)) == record);
    });
}

// Guards against a truncated head that is taken for an empty or shorter one, which would forget claims.
TEST(LedgerHeadTest, RejectsTruncatedHeads)
{
    Testing::checkProperty("a truncated head is not decoded", [](bool resolved) {
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
