#include "Feed/MirrorState.h"

#include "Feed/EraLog.h"
#include "Feed/StoreObserver.h"
#include "Telemetry/EventLog.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace Mangofall::Feed {

namespace {

// A change ends the pending watch call of every reader, and each call is charged, so changes within this interval are fetched together. Hosts must know of new
// configurations and leaving upstreams within two seconds.
constexpr std::chrono::milliseconds batchInterval{400};
// A shorter interval applies after the start, while hosts register and must discover their peers quickly.
constexpr std::chrono::milliseconds startupBatchInterval{60};
constexpr std::chrono::milliseconds readerStartupBatchInterval{120};
constexpr std::chrono::seconds startupPeriod{2};
// A call that follows a lost connection only shows whether the store answers. A store may cut a call that waits, so that a cut would show nothing.
constexpr std::chrono::milliseconds verificationWait{1};
// The shortest time for which a watch waits, if the time since the last answer has used up the rest.
constexpr std::chrono::milliseconds minWatchWait{100};
// How long after the end of its wait a call is answered at the latest. The store takes four milliseconds, and fifty times as long in bad conditions.
constexpr std::chrono::milliseconds longestAnswerTime{200};
// After a failed call, a short wait detects early that the store answers again.
constexpr std::chrono::milliseconds recoveryWatchWait{100};
// A source that is used in place of a preferred one is asked for short times, so that the preferred one is tried again soon.
constexpr std::chrono::milliseconds fallbackWatchWait{200};
// While the readers are still starting, the hosts are listed again at this interval, in case the list was incomplete.
constexpr std::chrono::milliseconds relistInterval{700};
constexpr std::chrono::milliseconds listRetryInterval{150};
// Between two reports of an item that the observer cannot handle.
constexpr std::chrono::seconds reportInterval{1};
// If another host has read the store within this time, a failed call means that this host is cut off, not that the store is down.
// The view that it reads from others may be half a limit for changes old, 1.5 s on large fleets, and up to a second passes between two calls.
constexpr std::chrono::milliseconds storeAnswersOthersTime{2500};

std::string describe(const SourceId &source)
{
    return source.isStore() ? "store" : source.host.value();
}

std::string describe(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}

MirrorState::MirrorState(SourceSelector &selector, WatchWaits waits, StoreObserver &observer, const RestorePolicy &policy, EventLog &log, TimePoint now)
    : m_selector(selector)
    , m_waits(waits)
    , m_observer(observer)
    , m_log(log)
    , m_transition(policy)
    , m_nextStoreCall(now)
    , m_nextListing(now)
{
    startRead(now);
}

bool MirrorState::listingDue(TimePoint now) const
{
    return !m_synchronisedAt && now >= m_nextListing;
}

void MirrorState::hostsListed(bool answered, TimePoint now)
{
    m_nextListing = now + (answered ? relistInterval : listRetryInterval);
    if (!answered) {
        handleFailure(SourceId(), now, now);
    }
}

MirrorCall MirrorState::next(TimePoint now) const
{
    const SourceChoice choice = m_verifiesStore ? SourceChoice{SourceId(), now, false} : m_selector.next(now);
    MirrorCall call;
    call.source = choice.source;
    call.verifies = m_verifiesStore;
    call.at = choice.source.isStore() && !call.verifies ? std::max(choice.at, m_nextStoreCall) : choice.at;
    call.page = m_read.has_value();
    call.era = m_era;
    if (m_read) {
        call.afterKey = m_read->after;
    } else {
        call.afterRevision = m_view.revision();
        call.wait = call.verifies ? verificationWait : watchWait(choice, call.at);
    }
    return call;
}

void MirrorState::handleAnswer(const MirrorCall &call, const ItemPage &page, TimePoint now)
{
    m_verifiesStore = m_verifiesStore && !call.verifies;
    if (!checkEra(call, page, now)) {
        return;
    }
    switch (page.status) {
    case SourceStatus::Failed:
        handleFailure(call.source, call.at, now);
        return;
    case SourceStatus::Lost:
        handleLostConnection(call, now);
        return;
    case SourceStatus::RateLimited:
        m_selector.failed(call.source, now);
        return;
    case SourceStatus::Starting:
        m_selector.starting(call.source, now);
        return;
    case SourceStatus::HistoryGone:
        handleHistoryGone(call.source, now);
        return;
    case SourceStatus::Ok:
        break;
    }
    recordAnswer(call, page, now);
    if (call.page) {
        handlePage(page, now);
    } else {
        handleChanges(call, page, now);
    }
    // Bounds the calls to a store that cuts each call that waits.
    if (call.verifies && !call.page) {
        m_nextStoreCall = now + batchDelay(now);
    }
}

void MirrorState::eraSeen(std::uint64_t era, const SourceId &source, TimePoint now)
{
    if (era <= m_era) {
        return;
    }
    const std::uint64_t former = std::exchange(m_era, era);
    m_restoredAfter = std::max(m_currentAt.value_or(now), m_lastFailedCallAt.value_or(TimePoint::min()));
    if (former != 0) {
        m_eraChangedAt = now;
        m_log.write("store_era_changed", {{"from", std::to_string(former)}, {"to", std::to_string(era)}, {"source", describe(source)}});
    }
    m_eraRevision = 0;
    if (m_transition.hasTold()) {
        m_replacement.emplace();
    } else {
        m_view = StoreView();
    }
    startRead(now);
    m_observer.storeEraChanged(former, era);
}

void MirrorState::processPaused(TimePoint now)
{
    m_pausedAt = now;
    m_nextStoreCall = now;
}

void MirrorState::expireHeldItems(TimePoint now)
{
    const EraChanges changes = m_transition.expire(now);
    deliver(changes);
    if (!changes.reported.empty()) {
        completeBatch();
    }
    if (now >= m_nextReport && (m_batchPending || !m_unhandled.empty())) {
        m_nextReport = now + reportInterval;
        reportUnhandledItems();
    }
}

void MirrorState::reportUnhandledItems()
{
    const std::map<std::string, StoreItem> items = m_unhandled;
    for (const auto &[key, item] : items) {
        notify(item);
    }
    completeBatch();
}

void MirrorState::completeBatch()
{
    m_batchPending = true;
    try {
        m_observer.changeBatchCompleted();
        m_batchPending = false;
    } catch (const std::exception &error) {
        m_log.write("store_batch_failed", {{"revision", std::to_string(m_view.revision())}, {"problem", error.what()}});
    }
}

bool MirrorState::synchronised() const
{
    return m_synchronisedAt.has_value();
}

const StoreView &MirrorState::view() const
{
    return m_view;
}

std::optional<Duration> MirrorState::age(TimePoint now) const
{
    return m_currentAt ? std::optional<Duration>(now - *m_currentAt) : std::nullopt;
}

std::optional<Duration> MirrorState::failureAge(TimePoint now) const
{
    return m_storeFailedAt ? std::optional<Duration>(now - *m_storeFailedAt) : std::nullopt;
}

std::uint64_t MirrorState::era() const
{
    return m_era;
}

std::uint64_t MirrorState::eraRevision() const
{
    return m_eraRevision;
}

std::optional<Duration> MirrorState::eraAge(TimePoint now) const
{
    return m_eraChangedAt ? std::optional<Duration>(now - *m_eraChangedAt) : std::nullopt;
}

bool MirrorState::readsNewEra() const
{
    return m_replacement.has_value();
}

std::size_t MirrorState::heldItems() const
{
    return m_transition.held();
}

bool MirrorState::followsPeer() const
{
    return !m_source.isStore();
}

std::chrono::milliseconds MirrorState::watchWait(const SourceChoice &choice, TimePoint at) const
{
    if (!choice.preferred) {
        return choice.source.isStore() && m_storeFailingSince ? recoveryWatchWait : fallbackWatchWait;
    }
    if (!choice.source.isStore()) {
        return m_waits.follower;
    }
    return m_selector.role() == FeedRole::Reader ? std::min(m_waits.reader, independentWait(at)) : independentWait(at);
}

std::chrono::milliseconds MirrorState::independentWait(TimePoint at) const
{
    const Duration silence = m_storeAnsweredAt ? at - *m_storeAnsweredAt : Duration::zero();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_waits.independent - silence);
    return std::max(left, minWatchWait);
}

// Refusals and failures count whatever their era is; keys and history are of use only in the newest era, and only if the call was made in it.
bool MirrorState::checkEra(const MirrorCall &call, const ItemPage &page, TimePoint now)
{
    const bool hasContent = page.status == SourceStatus::Ok || page.status == SourceStatus::HistoryGone;
    // The store's answers to this host without the header give no information, but the view of a peer that knows no era may be one of an older era.
    const bool unknownAtPeer = page.era == 0 && m_era != 0 && hasContent && !call.source.isStore();
    if (unknownAtPeer || (page.era != 0 && page.era < m_era)) {
        if (call.source.isStore() && call.era < m_era) {
            return false; // The store answered before it was restored, so that it has not failed.
        }
        m_log.write("feed_source_behind", {{"source", describe(call.source)}, {"era", std::to_string(page.era)}, {"known", std::to_string(m_era)}});
        handleFailure(call.source, call.at, now);
        return false;
    }
    eraSeen(page.era, call.source, now);
    const bool beginsRead = call.page && call.afterKey.empty() && page.era == m_era && page.status == SourceStatus::Ok;
    return !hasContent || call.era == m_era || beginsRead;
}

void MirrorState::handlePage(const ItemPage &page, TimePoint now)
{
    for (const StoreItem &item : page.items) {
        m_read->present.insert(item.key);
        applyItem(item, now);
    }
    recordEraRevision(page);
    m_read->revision = m_read->revision == 0 ? page.revision : std::min(m_read->revision, page.revision);
    const bool complete = !page.more || page.items.empty() || page.items.back().key == m_read->after;
    if (complete) {
        completeRead(now);
    } else {
        m_read->after = page.items.back().key;
    }
}

// The revision of the copy is not known, but it is not greater than any that was seen since.
void MirrorState::recordEraRevision(const ItemPage &page)
{
    for (const std::uint64_t revision : {page.eraRevision, page.revision}) {
        if (revision != 0) {
            m_eraRevision = m_eraRevision == 0 ? revision : std::min(m_eraRevision, revision);
        }
    }
}

void MirrorState::handleChanges(const MirrorCall &call, const ItemPage &page, TimePoint now)
{
    const bool catchingUp = m_pausedAt && call.at < *m_pausedAt;
    if (!catchingUp) {
        m_pausedAt.reset();
    }
    for (const StoreItem &item : page.items) {
        applyItem(item, now);
    }
    m_view.setRevision(page.revision);
    if (page.items.empty()) {
        return;
    }
    completeBatch();
    if (call.source.isStore() && !catchingUp) {
        m_nextStoreCall = now + batchDelay(now);
    }
}

void MirrorState::completeRead(TimePoint now)
{
    for (const StoreItem &item : target().removeMissing(m_read->present, m_read->revision)) {
        deliver(m_transition.changed(item, now));
    }
    target().setRevision(m_read->revision);
    if (m_replacement) {
        replaceView();
    }
    m_log.write("store_read",
                {{"source", describe(m_source)},
                 {"keys", std::to_string(m_view.size())},
                 {"revision", std::to_string(m_view.revision())},
                 {"took_ms", describe(now - m_read->startedAt)}});
    m_currentAt = std::max(m_currentAt, m_read->currentAt);
    m_read.reset();
    m_synchronisedAt = m_synchronisedAt.value_or(now);
    completeBatch();
}

void MirrorState::replaceView()
{
    m_view = std::move(*m_replacement);
    m_replacement.reset();
    const EraChanges changes = m_transition.restored({m_view.items(), m_eraRevision, m_read->revision}, m_restoredAfter);
    m_log.write("store_era_read",
                {{"era", std::to_string(m_era)}, {"applied", std::to_string(changes.reported.size())}, {"held", std::to_string(m_transition.held())}});
    deliver(changes);
}

void MirrorState::handleLostConnection(const MirrorCall &call, TimePoint now)
{
    if (!call.source.isStore() || call.verifies) {
        handleFailure(call.source, call.at, now);
        return;
    }
    m_log.write("store_connection_lost", {{"silent_ms", m_storeAnsweredAt ? describe(now - *m_storeAnsweredAt) : std::string()}});
    m_verifiesStore = true;
}

void MirrorState::handleFailure(const SourceId &source, TimePoint madeAt, TimePoint now)
{
    m_selector.failed(source, now);
    if (source.isStore()) {
        const bool first = !m_storeFailingSince;
        m_storeFailingSince = m_storeFailingSince.value_or(now);
        if (storeAnswersOthers(now)) {
            return;
        }
        // Entries lapse at the begin of an outage or after its end. Each further failure in between may be that of a host which has lost the store alone.
        m_lastFailedCallAt = madeAt;
        m_storeFailedAt = first ? madeAt : m_storeFailedAt;
        m_observer.storeCallFailed(madeAt);
        return;
    }
    m_log.write("feed_source_failed", {{"source", describe(source)}, {"revision", std::to_string(m_view.revision())}});
}

// A reader that has just started has little history, so that another source is asked before all keys are read again.
void MirrorState::handleHistoryGone(const SourceId &source, TimePoint now)
{
    m_log.write("history_gone", {{"source", describe(source)}, {"revision", std::to_string(m_view.revision())}});
    if (!source.isStore() && !m_historyGoneAtPeer) {
        m_historyGoneAtPeer = true;
        m_selector.failed(source, now);
        return;
    }
    startRead(now);
}

void MirrorState::startRead(TimePoint now)
{
    m_historyGoneAtPeer = false;
    m_read = FullRead();
    m_read->startedAt = now;
}

void MirrorState::recordAnswer(const MirrorCall &call, const ItemPage &page, TimePoint now)
{
    const SourceId &source = call.source;
    m_historyGoneAtPeer = false;
    const TimePoint answeredAt = latestAnswerTime(call, now);
    if (source.isStore()) {
        m_storeAnsweredAt = answeredAt;
        if (m_storeFailingSince) {
            recordRecovery();
        }
    }
    recordCurrentAt(call, answeredAt - page.age);
    if (source != m_source) {
        m_log.write("feed_source", {{"source", describe(source)}, {"revision", std::to_string(page.revision)}, {"age_ms", describe(page.age)}});
        m_source = source;
    }
    const bool usable = m_selector.answered(source, page.age, now);
    if (!usable) {
        m_log.write("feed_source_old", {{"source", describe(source)}, {"revision", std::to_string(page.revision)}, {"age_ms", describe(page.age)}});
    }
    // A peer with an old view may have lost the store alone. This host then asks the store itself, and learns of an outage in that way.
    if (!source.isStore() && usable) {
        recordFailuresOfPeer(page, now);
    }
}

TimePoint MirrorState::latestAnswerTime(const MirrorCall &call, TimePoint now)
{
    return std::min(now, call.at + call.wait + longestAnswerTime);
}

// Of a read, all pages are needed: a change may be on one that has not been read yet.
void MirrorState::recordCurrentAt(const MirrorCall &call, TimePoint time)
{
    if (call.page) {
        m_read->currentAt = std::min(m_read->currentAt.value_or(time), time);
    } else {
        m_currentAt = std::max(m_currentAt.value_or(time), time);
    }
}

void MirrorState::recordRecovery()
{
    const bool answeredOthers = m_currentAt && *m_currentAt > *m_storeFailingSince;
    if (!answeredOthers) {
        m_storeFailedAt = m_lastFailedCallAt;
    }
    m_storeFailingSince.reset();
    m_observer.storeRecovered();
}

// This host passes on what it reads from the peer, and so the failures that tell how far removals can be trusted.
void MirrorState::recordFailuresOfPeer(const ItemPage &page, TimePoint now)
{
    if (m_storeFailedAt && now - page.age > std::max(*m_storeFailedAt, m_lastFailedCallAt.value_or(*m_storeFailedAt))) {
        m_storeFailedAt.reset();
        if (!page.failureAge) {
            m_observer.outageDisproved();
        }
    }
    if (!page.failureAge) {
        return;
    }
    const TimePoint failedAt = now - *page.failureAge;
    m_storeFailedAt = std::max(m_storeFailedAt.value_or(failedAt), failedAt);
    m_observer.readerCallFailed(failedAt);
}

bool MirrorState::storeAnswersOthers(TimePoint now) const
{
    return followsPeer() && m_currentAt && now < *m_currentAt + storeAnswersOthersTime;
}

StoreView &MirrorState::target()
{
    return m_replacement ? *m_replacement : m_view;
}

void MirrorState::applyItem(const StoreItem &item, TimePoint now)
{
    if (target().apply(item) && !m_replacement) {
        deliver(m_transition.changed(item, now));
    }
}

void MirrorState::deliver(const EraChanges &changes)
{
    logEraChanges(m_log, changes, m_era);
    for (const StoreItem &item : changes.reported) {
        notify(item);
    }
}

void MirrorState::notify(const StoreItem &item)
{
    try {
        m_observer.itemChanged(item);
        m_unhandled.erase(item.key);
    } catch (const std::exception &error) {
        m_unhandled.insert_or_assign(item.key, item);
        m_log.write("store_item_failed", {{"key", item.key}, {"revision", std::to_string(item.revision)}, {"problem", error.what()}});
    }
}

Duration MirrorState::batchDelay(TimePoint now) const
{
    const bool inStartup = m_synchronisedAt && now < *m_synchronisedAt + startupPeriod;
    if (!inStartup) {
        return batchInterval;
    }
    return m_selector.role() == FeedRole::Reader ? readerStartupBatchInterval : startupBatchInterval;
}

}
