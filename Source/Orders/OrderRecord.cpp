#include "Orders/OrderRecord.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Orders {

namespace {

using nlohmann::json;

// Bytes that need not be UTF-8, such as bodies and callers' keys, go into CBOR byte strings.
json bytes(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

std::string text(const json &value)
{
    const auto &binary = value.get_binary();
    return {binary.begin(), binary.end()};
}

json encodeClaim(const OrderClaim &claim)
{
    const AttemptId &attempt = claim.attempt;
    return {attempt.host,
            attempt.incarnation,
            attempt.sequence,
            bytes(claim.organisation.value()),
            bytes(claim.service.value()),
            bytes(claim.upstream.value()),
            claim.hasStatusCall,
            claim.claimedAt.time_since_epoch().count()};
}

void decodeClaim(const json &from, OrderClaim &claim)
{
    claim.attempt = {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>(), from.at(2).get<std::uint64_t>()};
    claim.organisation = OrganisationId(text(from.at(3)));
    claim.service = ServiceId(text(from.at(4)));
    claim.upstream = UpstreamId(text(from.at(5)));
    claim.hasStatusCall = from.at(6).get<bool>();
    claim.claimedAt = WallTime(std::chrono::milliseconds(from.at(7).get<std::int64_t>()));
}

json encodeResolution(const OrderResolution &resolution)
{
    const OrderOutcome &outcome = resolution.outcome;
    json to = {resolution.ran, static_cast<int>(resolution.source)};
    if (resolution.ran) {
        to.insert(to.end(), {outcome.httpStatus, bytes(outcome.contentType), bytes(outcome.body), bytes(outcome.bodyKey), outcome.bodyDropped});
    }
    return to;
}

OrderResolution decodeResolution(const json &from)
{
    OrderResolution resolution;
    resolution.ran = from.at(0).get<bool>();
    resolution.source = static_cast<ResolutionSource>(from.at(1).get<int>());
    if (resolution.ran) {
        resolution.outcome = {from.at(2).get<int>(), text(from.at(3)), text(from.at(4)), text(from.at(5)), from.at(6).get<bool>()};
    }
    return resolution;
}

}

std::string encodeRecord(const OrderRecord &record)
{
    const json tail = record.resolution ? encodeResolution(*record.resolution) : encodeClaim(record.claim);
    const json to = {bytes(record.claim.key.value()), bytes(record.claim.bodyHash), record.resolution.has_value(), record.epoch, record.time.count(), tail};
    std::string data;
    json::to_cbor(to, data);
    return data;
}

std::optional<OrderRecord> decodeRecord(std::string_view data)
{
    try {
        const json from = json::from_cbor(data);
        OrderRecord record;
        record.claim.key = OrderKey(text(from.at(0)));
        record.claim.bodyHash = text(from.at(1));
        record.epoch = from.at(3).get<Epoch>();
        record.time = std::chrono::milliseconds(from.at(4).get<std::int64_t>());
        if (from.at(2).get<bool>()) {
            record.resolution = decodeResolution(from.at(5));
        } else {
            decodeClaim(from.at(5), record.claim);
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
