#include "Orders/LedgerHead.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Orders {

namespace {

using nlohmann::json;

constexpr int formatVersion = 1;

}

bool LedgerHead::sameWrite(const LedgerHead &other) const
{
    return epoch == other.epoch && writer == other.writer && commit == other.commit;
}

std::string encodeHead(const LedgerHead &head)
{
    json records = json::array();
    for (const auto &[key, record] : head.records) {
        records.push_back(json::binary({record.begin(), record.end()}));
    }
    const json document = {formatVersion, head.epoch, head.writer, head.commit, head.clock.count(), std::move(records)};
    std::string data;
    json::to_cbor(document, data);
    return data;
}

std::optional<LedgerHead> decodeHead(std::string_view data)
{
    try {
        const json document = json::from_cbor(data);
        if (document.at(0).get<int>() != formatVersion) {
            return std::nullopt;
        }
        LedgerHead head;
        head.epoch = document.at(1).get<Epoch>();
        head.writer = document.at(2).get<std::string>();
        head.commit = document.at(3).get<std::uint64_t>();
        head.clock = std::chrono::milliseconds(document.at(4).get<std::int64_t>());
        for (const json &entry : document.at(5)) {
            const auto &binary = entry.get_binary();
            std::string encoded(binary.begin(), binary.end());
            const std::optional<OrderRecord> record = decodeRecord(encoded);
            if (!record) {
                return std::nullopt;
            }
            head.records.emplace(record->claim.key, std::move(encoded));
        }
        return head;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
