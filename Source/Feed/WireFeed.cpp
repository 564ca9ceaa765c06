#include "Feed/WireFeed.h"

#include "Peer/PeerMessages_generated.h"

#include <algorithm>
#include <limits>

namespace Mangofall::Feed {

namespace {

std::uint32_t wireMilliseconds(Duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

// A call that fails gets no answer, so that a failure has no value on the wire.
Wire::FeedStatus wireStatus(SourceStatus status)
{
    switch (status) {
    case SourceStatus::Ok:
        return Wire::FeedStatus::Ok;
    case SourceStatus::HistoryGone:
        return Wire::FeedStatus::HistoryGone;
    case SourceStatus::Starting:
    case SourceStatus::RateLimited:
    case SourceStatus::Lost:
    case SourceStatus::Failed:
        break;
    }
    return Wire::FeedStatus::Starting;
}

std::optional<SourceStatus> statusFromWire(Wire::FeedStatus status)
{
    switch (status) {
    case Wire::FeedStatus::Ok:
        return SourceStatus::Ok;
    case Wire::FeedStatus::Starting:
        return SourceStatus::Starting;
    case Wire::FeedStatus::HistoryGone:
        return SourceStatus::HistoryGone;
    }
    return std::nullopt;
}

}

Wire::FeedAnswerT toWire(const ItemPage &page, std::uint64_t call)
{
    Wire::FeedAnswerT answer;
    answer.call = call;
    answer.status = wireStatus(page.status);
    for (const StoreItem &item : page.items) {
        auto entry = std::make_unique<Wire::FeedItemT>();
        entry->key = item.key;
        entry->value.assign(item.value.begin(), item.value.end());
        entry->revision = item.revision;
        entry->removed = item.removed;
        answer.items.push_back(std::move(entry));
    }
    answer.era = page.era;
    answer.era_revision = page.eraRevision;
    answer.revision = page.revision;
    answer.more = page.more;
    answer.age_ms = wireMilliseconds(page.age);
    answer.store_failed = page.failureAge.has_value();
    answer.failure_age_ms = wireMilliseconds(page.failureAge.value_or(Duration::zero()));
    return answer;
}

std::optional<ItemPage> fromWire(const Wire::FeedAnswerT &answer)
{
    const std::optional<SourceStatus> status = statusFromWire(answer.status);
    if (!status) {
        return std::nullopt;
    }
    ItemPage page;
    page.status = *status;
    page.era = answer.era;
    page.eraRevision = answer.era_revision;
    page.revision = answer.revision;
    page.more = answer.more;
    page.age = std::chrono::milliseconds(answer.age_ms);
    if (answer.store_failed) {
        page.failureAge = std::chrono::milliseconds(answer.failure_age_ms);
    }
    for (const auto &entry : answer.items) {
        if (!entry || entry->key.empty() || entry->revision == 0 || entry->revision > answer.revision) {
            return std::nullopt;
        }
        page.items.push_back({entry->key, std::string(entry->value.begin(), entry->value.end()), entry->revision, entry->removed});
    }
    return page;
}

}
