#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"
#include "Config/ChangeAnswer.h"
#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationRoot.h"
#include "Config/StoreEvents.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Mangofall {

/// Reads a key of the store; answered by StoreReadDone.
struct ReadConfigurationKey {
    std::string key;
};

/// Writes a key of the store; answered by StoreWriteDone. Whoever executes this action must not retry the call.
struct WriteConfigurationKey {
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0; ///< Version of the key that the write replaces; 0 means that the key must not exist.
};

/// Requests a ChangerTick at \p time.
struct WakeChangerAt {
    TimePoint time;
};

/// Reports the end of the change; no further action follows.
struct ChangeFinished {
    ChangeAnswer answer;
};

using ChangerAction = std::variant<ReadConfigurationKey, WriteConfigurationKey, WakeChangerAt, ChangeFinished>;
using ChangerActions = std::vector<ChangerAction>;

/// The time requested by WakeChangerAt has come.
struct ChangerTick {
};

using ChangerEvent = std::variant<StoreReadDone, StoreWriteDone, ChangerTick>;

/**
 * \class ConfigurationChanger
 * \brief Makes one configuration change: reads the root and its blobs, validates the change, writes new blobs, and replaces the root by compare-and-swap.
 *
 * After a conflict the changer starts again from the new root. If the answer to a write of the root is lost, the root is read back: the change's id among
 * the recent changes proves that the write took effect. A root with another version, whose recent changes reach back to the revision of the write and
 * lack the id, proves that the write did not take effect and never will, because every write names the version that it replaces. The answer is
 * "rejected" only if no write of the root can have taken effect.
 */
class ConfigurationChanger
{
public:
    /// \p timeout bounds the duration of the whole change; \p wallTime is recorded in the history. \p random must outlive the changer.
    ConfigurationChanger(ConfigurationChange change, Duration timeout, WallTime wallTime, RandomEngine &random);

    ChangerActions start(TimePoint now);
    ChangerActions handle(const ChangerEvent &event, TimePoint now);

    bool finished() const;
    /// The accepted root and its blobs, to be offered to this host's replica; empty unless a write of this changer was answered as applied.
    const std::optional<SplitConfiguration> &accepted() const;

private:
    enum class State {
        Idle,
        ReadingRoot,
        ReadingBlobs,
        WritingBlobs,
        WritingRoot,
        Waiting,
        Finished,
    };

    /// A write of the root whose outcome is unknown.
    struct PendingWrite {
        std::uint64_t expectedVersion = 0;
        Revision revision = 0;
    };

    void onRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions);
    void onRootRead(const StoreReadDone &read, ChangerActions &actions);
    void onBlobRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions);
    void onWritten(const StoreWriteDone &written, TimePoint now, ChangerActions &actions);
    void onRootWritten(StoreWriteStatus status, TimePoint now, ChangerActions &actions);
    void onTick(TimePoint now, ChangerActions &actions);
    void readRoot(ChangerActions &actions);
    void readBlobs(ChangerActions &actions);
    void validate(ChangerActions &actions);
    void writeRoot(ChangerActions &actions);
    /// Resolves the pending write as not applied if \p root, which was read back and lacks the change, proves it; returns false if it does not.
    bool resolvePendingWrite(const ConfigurationRoot &root);
    void retryLater(TimePoint now, ChangerActions &actions);
    void finishAtDeadline(ChangerActions &actions);
    void finish(ChangeResult result, Revision revision, std::string reason, ChangerActions &actions);

    ConfigurationChange m_change;
    Duration m_timeout;
    WallTime m_wallTime;
    RandomEngine &m_random;
    State m_state = State::Idle;
    TimePoint m_deadline;
    TimePoint m_retryAt;
    std::uint32_t m_retries = 0;
    ConfigurationRoot m_baseRoot;
    std::uint64_t m_baseVersion = 0;
    ConfigurationBlobs m_blobs;
    std::set<std::string> m_awaitedKeys;
    SplitConfiguration m_nextConfiguration;
    std::optional<PendingWrite> m_pendingWrite;
    std::optional<SplitConfiguration> m_accepted;
};

}
