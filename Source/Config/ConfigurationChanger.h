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

/// Read a key of the store; answered by StoreReadDone.
struct ReadConfigurationKey {
    std::string key;
};

/// Write a key of the store; answered by StoreWriteDone. The adapter must not repeat the call on its own.
struct WriteConfigurationKey {
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0; ///< 0: the key must not exist.
};

/// Send a ChangerTick at \p time.
struct WakeChangerAt {
    TimePoint time;
};

/// The change has ended; no further action follows.
struct ChangeFinished {
    ChangeAnswer answer;
};

using ChangerAction = std::variant<ReadConfigurationKey, WriteConfigurationKey, WakeChangerAt, ChangeFinished>;
using ChangerActions = std::vector<ChangerAction>;

struct ChangerTick {
};

using ChangerEvent = std::variant<StoreReadDone, StoreWriteDone, ChangerTick>;

/**
 * \class ConfigurationChanger
 * \brief Makes one configuration change: reads the root, validates, writes blobs, and swaps the root.
 *
 * A conflict starts again from the new root. After a lost answer the root is read back: the change's id among the recent changes proves that it took
 * effect; a root with another version and without the id proves that it did not and will not, because every write names the version that it
 * replaces. "Rejected" is answered only if no write of the root can have taken effect.
 */
class ConfigurationChanger
{
public:
    /// \p timeout bounds the whole change; \p wallTime goes into the history. \p random must outlive the changer.
    ConfigurationChanger(ConfigurationChange change, Duration timeout, WallTime wallTime, RandomEngine &random);

    ChangerActions start(TimePoint now);
    ChangerActions handle(const ChangerEvent &event, TimePoint now);

    bool finished() const;
    /// The accepted root and its blobs, to be offered to this host's replica; empty unless accepted by this changer's own write.
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

    /// A write of the root without a known outcome.
    struct PendingWrite {
        std::uint64_t expectedVersion = 0;
        Revision revision = 0;
    };

    void onRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions);
    void onRoot(const StoreReadDone &read, ChangerActions &actions);
    void onBlobRead(const StoreReadDone &read, TimePoint now, ChangerActions &actions);
    void onWritten(const StoreWriteDone &written, TimePoint now, ChangerActions &actions);
    void onRootWritten(StoreWriteStatus status, TimePoint now, ChangerActions &actions);
    void onTick(TimePoint now, ChangerActions &actions);
    void readRoot(ChangerActions &actions);
    void readBlobs(ChangerActions &actions);
    void validate(ChangerActions &actions);
    void writeRoot(ChangerActions &actions);
    /// Settles a pending write by the root that was read back; false if that is not possible.
    bool settlePendingWrite(const ConfigurationRoot &root);
    void retryLater(TimePoint now, ChangerActions &actions);
    void giveUp(ChangerActions &actions);
    void finish(ChangeResult result, Revision revision, std::string reason, ChangerActions &actions);

    ConfigurationChange m_change;
    Duration m_timeout;
    WallTime m_wallTime;
    RandomEngine &m_random;
    State m_state = State::Idle;
    TimePoint m_deadline;
    TimePoint m_retryAt;
    std::uint32_t m_retries = 0;
    ConfigurationRoot m_base;
    std::uint64_t m_baseVersion = 0;
    ConfigurationBlobs m_blobs;
    std::set<std::string> m_awaitedKeys;
    SplitConfiguration m_next;
    std::optional<PendingWrite> m_pending;
    std::optional<SplitConfiguration> m_accepted;
};

}
