#include "Orders/OrderRecord.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Orders {

namespace {

using nlohmann::json;

// Texts that may not be valid UTF-8, such as bodies and callers' keys, are encoded as CBOR byte strings.
json toByteString(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

std::string fromByteString(const json &value)
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
            toByteString(claim.organisation.value()),
            toByteString(claim.service.value()),
            toByteString(claim.upstream.value()),
            claim.hasStatusCall,
            claim.claimedAt.time_since_epoch().count()};
}

void decodeClaim(const json &encoded, OrderClaim &claim)
{
    claim.attempt = {encoded.at(0).get<std::uint64_t>(), encoded.at(1).get<std::uint64_t>(), encoded.at(2).get<std::uint64_t>()};
    claim.organisation = OrganisationId(fromByteString(encoded.at(3)));
    claim.service = ServiceId(fromByteString(encoded.at(4)));
    claim.upstream = UpstreamId(fromByteString(encoded.at(5)));
    claim.hasStatusCall = encoded.at(6).get<bool>();
    claim.claimedAt = WallTime(std::chrono::milliseconds(encoded.at(7).get<std::int64_t>()));
}

json encodeResolution(const OrderResolution &resolution)
{
    const OrderOutcome &outcome = resolution.outcome;
    json encoded = {resolution.ran, static_cast<int>(resolution.source)};
    if (resolution.ran) {
        encoded.insert(encoded.end(),
                       {outcome.httpStatus, toByteString(outcome.contentType), toByteString(outcome.body), toByteString(outcome.bodyKey), outcome.bodyDropped});
    }
    return encoded;
}

OrderResolution decodeResolution(const json &encoded)
{
    OrderResolution resolution;
    resolution.ran = encoded.at(0).get<bool>();
    resolution.source = static_cast<ResolutionSource>(encoded.at(1).get<int>());
    if (resolution.ran) {
        resolution.outcome = {
            encoded.at(2).get<int>(), fromByteString(encoded.at(3)), fromByteString(encoded.at(4)), fromByteString(encoded.at(5)), encoded.at(6).get<bool>()};
    }
    return resolution;
}

}

std::string encodeRecord(const OrderRecord &record)
{
    const json details = record.resolution ? encodeResolution(*record.resolution) : encodeClaim(record.claim);
    const json encoded = {
        toByteString(record.claim.key.value()), toByteString(record.claim.bodyHash), record.resolution.has_value(), record.epoch, record.time.count(), details};
    std::string data;
    json::to_cbor(encoded, data);
    return data;
}

std::optional<OrderRecord> decodeRecord(std::string_view data)
{
    try {
        const json encoded = json::from_cbor(data);
        OrderRecord record;
        record.claim.key = OrderKey(fromByteString(encoded.at(0)));
        record.claim.bodyHash = fromByteString(encoded.at(1));
        record.epoch = encoded.at(3).get<Epoch>();
        record.time = std::chrono::milliseconds(encoded.at(4).get<std::int64_t>());
        if (encoded.at(2).get<bool>()) {
            record.resolution = decodeResolution(encoded.at(5));
        } else {
            decodeClaim(encoded.at(5), record.claim);
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
