#include "Config/ConfigurationChanger.h"

#include "Base/Hash.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Mangofall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstRetryDelay{20};
constexpr milliseconds maxRetryDelay{2000};
// Doubling 20 ms seven times gives 2560 ms, which exceeds maxRetryDelay.
constexpr std::uint32_t maxDoublings = 7;

const RecentChange *findChange(const ConfigurationRoot &root, const ChangeId &id)
{
    const auto found = std::ranges::find(root.recentChanges, id, &RecentChange::id);
    return found == root.recentChanges.end() ? nullptr : &*found;
}

}

ConfigurationChanger::ConfigurationChanger(ConfigurationChange change, Duration timeout, WallTime wallTime, RandomEngine &random)
    : m_change(std::move(change))
    , m_timeout(timeout)
    , m_wallTime(wallTime)
    , m_random(random)
{
}

bool ConfigurationChanger::finished() const
{
    return m_state == State::Finished;
}

const std::optional<SplitConfiguration> &ConfigurationChanger::accepted() const
{
    return m_accepted;
}

ChangerActions ConfigurationChanger::start(TimePoint now)
{
    m_deadline = now + m_timeout;
    ChangerActions actions{WakeChangerAt{m_deadline}};
    readRoot(actions);
    return actions;
}

ChangerActions ConfigurationChanger::handle(const ChangerEvent &event, TimePoint now)
{
    ChangerActions actions;
    if (finished() || m_state == State::Idle) {
        return actions;
    }
    if (const auto *read = std::get_if<StoreReadDone>(&event)) {
        onRead(*read, now, actions);
    } else if (const auto *written = std::get_if<StoreWriteDone>(&event)) {
        onWritten(*written, now, actions);
    } else {
        onTick(now, actions);
    }
    return actions;
}

void ConfigurationChanger::onTick(TimePoint now, ChangerActions &actions)
{
    if (now >= m_deadline) {
        finishAtDeadline(actions);
    } else if (m_state == State::Waiting && now >= m_retryAt) {
        readRoot(actions);
    }
}

void ConfigurationChanger::onRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions)
{
    // A read that was started before the last retry may end while the same key is being written.
    const bool reading = m_state == State::ReadingRoot || m_state == State::ReadingBlobs;
    if (!reading || m_awaitedKeys.erase(read.key) == 0) {
        return;
    }
    if (read.status == StoreReadStatus::Failed) {
        retryLater(now, actions);
    } else if (m_state == State::ReadingRoot) {
        onRootRead(read, actions);
    } else {
        onBlobRead(read, now, actions);
    }
}

void ConfigurationChanger::onRootRead(const StoreReadDone &read, ChangerActions &actions)
{
    ConfigurationRoot root;
    if (read.status == StoreReadStatus::Found) {
        ConfigurationProblems problems;
        std::optional<ConfigurationRoot> decoded = decodeRoot(read.value, problems);
        if (!decoded.has_value()) {
            const ChangeResult result = m_pendingWrite.has_value() ? ChangeResult::Unresolved : ChangeResult::Rejected;
            finish(result, 0, "the stored configuration cannot be read: " + describe(problems.front()), actions);
            return;
        }
        root = std::move(*decoded);
    }
    if (const RecentChange *change = findChange(root, m_change.id)) {
        finish(ChangeResult::Accepted, change->revision, {}, actions);
        return;
    }
    if (m_pendingWrite.has_value() && m_pendingWrite->expectedVersion != read.version && !resolvePendingWrite(root)) {
        finish(ChangeResult::Unresolved, 0, {}, actions);
        return;
    }
    m_baseRoot = std::move(root);
    m_baseVersion = read.version;
    readBlobs(actions);
}

void ConfigurationChanger::readBlobs(ChangerActions &actions)
{
    const std::vector<std::string> missing = missingBlobs(m_baseRoot, m_blobs);
    m_state = State::ReadingBlobs;
    for (const std::string &hash : missing) {
        m_awaitedKeys.insert(blobKey(hash));
        actions.emplace_back(ReadConfigurationKey{blobKey(hash)});
    }
    if (missing.empty()) {
        validate(actions);
    }
}

bool ConfigurationChanger::resolvePendingWrite(const ConfigurationRoot &root)
{
    // The list of recent changes has one entry per revision. If it reaches back to the revision of the pending write and lacks the id, another change made
    // that revision.
    const bool listCoversRevision = !root.recentChanges.empty() && root.recentChanges.front().revision <= m_pendingWrite->revision;
    if (listCoversRevision) {
        m_pendingWrite.reset();
    }
    return listCoversRevision;
}

void ConfigurationChanger::onBlobRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions)
{
    std::string hash = contentHash(read.value);
    if (read.status != StoreReadStatus::Found || blobKey(hash) != read.key) {
        retryLater(now, actions);
        return;
    }
    m_blobs[std::move(hash)] = read.value;
    if (m_awaitedKeys.empty()) {
        validate(actions);
    }
}

void ConfigurationChanger::validate(ChangerActions &actions)
{
    const ChangeResult failureResult = m_pendingWrite.has_value() ? ChangeResult::Unresolved : ChangeResult::Rejected;
    FleetConfiguration base;
    if (m_baseRoot.revision > 0) {
        ConfigurationProblems problems;
        std::optional<FleetConfiguration> joined = joinConfiguration(m_baseRoot, m_blobs, problems);
        if (!joined.has_value()) {
            finish(failureResult, 0, "the stored configuration cannot be read: " + describe(problems.front()), actions);
            return;
        }
        base = std::move(*joined);
    }
    ChangeOutcome outcome = applyChange(base, m_change, m_wallTime);
    if (std::string *reason = std::get_if<std::string>(&outcome)) {
        finish(failureResult, 0, std::move(*reason), actions);
        return;
    }
    m_nextConfiguration = splitConfiguration(std::get<FleetConfiguration>(outcome));
    m_state = State::WritingBlobs;
    for (const std::string &hash : missingBlobs(m_nextConfiguration.root, m_blobs)) {
        m_awaitedKeys.insert(blobKey(hash));
        actions.emplace_back(WriteConfigurationKey{blobKey(hash), m_nextConfiguration.blobs.at(hash), 0});
    }
    if (m_awaitedKeys.empty()) {
        writeRoot(actions);
    }
}

void ConfigurationChanger::writeRoot(ChangerActions &actions)
{
    m_state = State::WritingRoot;
    m_awaitedKeys.insert(rootKey);
    actions.emplace_back(WriteConfigurationKey{rootKey, encodeRoot(m_nextConfiguration.root), m_baseVersion});
}

void ConfigurationChanger::onWritten(const StoreWriteDone &written, TimePoint now, ChangerActions &actions)
{
    const bool writing = m_state == State::WritingBlobs || m_state == State::WritingRoot;
    if (!writing || m_awaitedKeys.erase(written.key) == 0) {
        return;
    }
    if (m_state == State::WritingRoot) {
        onRootWritten(written.status, now, actions);
        return;
    }
    // A blob's key contains the hash of its content, so a conflict means that the same text is already stored.
    if (written.status != StoreWriteStatus::Applied && written.status != StoreWriteStatus::Conflict) {
        retryLater(now, actions);
    } else if (m_awaitedKeys.empty()) {
        writeRoot(actions);
    }
}

void ConfigurationChanger::onRootWritten(StoreWriteStatus status, TimePoint now, ChangerActions &actions)
{
    if (status == StoreWriteStatus::Applied) {
        const Revision revision = m_nextConfiguration.root.revision;
        m_accepted = std::move(m_nextConfiguration);
        finish(ChangeResult::Accepted, revision, {}, actions);
        return;
    }
    if (status == StoreWriteStatus::Unknown) {
        m_pendingWrite = PendingWrite{m_baseVersion, m_nextConfiguration.root.revision};
    }
    retryLater(now, actions);
}

void ConfigurationChanger::readRoot(ChangerActions &actions)
{
    m_state = State::ReadingRoot;
    m_awaitedKeys = {rootKey};
    actions.emplace_back(ReadConfigurationKey{rootKey});
}

void ConfigurationChanger::retryLater(TimePoint now, ChangerActions &actions)
{
    const Duration maxDelay = std::min<Duration>(maxRetryDelay, firstRetryDelay * (1U << std::min(m_retries, maxDoublings)));
    ++m_retries;
    std::uniform_int_distribution<Duration::rep> delay(0, maxDelay.count());
    m_retryAt = now + Duration(delay(m_random));
    m_state = State::Waiting;
    m_awaitedKeys.clear();
    actions.emplace_back(WakeChangerAt{m_retryAt});
}

void ConfigurationChanger::finishAtDeadline(ChangerActions &actions)
{
    if (m_pendingWrite.has_value() || m_state == State::WritingRoot) {
        finish(ChangeResult::Unresolved, 0, {}, actions);
    } else {
        finish(ChangeResult::Rejected, 0, "the store did not answer in time; nothing was changed", actions);
    }
}

void ConfigurationChanger::finish(ChangeResult result, Revision revision, std::string reason, ChangerActions &actions)
{
    m_state = State::Finished;
    m_awaitedKeys.clear();
    actions.emplace_back(ChangeFinished{{m_change.id, result, revision, std::move(reason)}});
}

}
