#pragma once

#include "Base/RandomEngine.h"
#include "Config/ConfigurationChanger.h"
#include "Config/ConfigurationReplica.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/StoreAccess.h"
#include "Peer/PeerConnection.h"
#include "Telemetry/Log.h"

#include <functional>
#include <map>
#include <memory>

namespace Mangofall::Wire {
struct ConfigurationFetchT;
}

namespace Mangofall {

/**
 * \class ConfigurationObserver
 * \brief Receives configuration events from ConfigurationRuntime on the control thread.
 */
class ConfigurationObserver
{
public:
    virtual ~ConfigurationObserver() = default;
    /// A new revision is in force on this host.
    virtual void configurationAdopted(const std::shared_ptr<const FleetConfiguration> &configuration) = 0;
    /// This host starts or stops accepting new requests, depending on whether the store or a peer can be reached.
    virtual void admittingChanged(bool admitting) = 0;
    /// Sends \p message to \p host; drops it if the membership table has no such host.
    virtual void sendToPeer(const HostId &host, Wire::PeerMessageT &&message) = 0;
    /// Live hosts of this data centre other than this one.
    virtual std::map<HostId, PeerAddress> peersOfDataCentre() const = 0;
};

/**
 * \class ConfigurationRuntime
 * \brief Runs this host's configuration replica and the configuration changes that operators submit to this host.
 */
class ConfigurationRuntime
{
public:
    using ChangeHandler = std::function<void(const ChangeAnswer &)>;

    /// All arguments must outlive the runtime.
    ConfigurationRuntime(StoreAccess &store, RandomEngine &random, ConfigurationObserver &observer);

    void start();
    /// Must be called every 100 ms.
    void tick();
    /// Writes \p change to the store and passes the answer to \p handler.
    void submit(ConfigurationChange change, ChangeHandler handler);

    /// Handles \p message from \p peer; returns false if it is not a configuration message.
    bool handle(const HostId &peer, const Wire::PeerMessageT &message);
    /// Records the revision that \p peer reported in its heartbeat.
    void peerReported(const HostId &peer, Revision revision);
    /// Sets whether this host is one of the few of its data centre that watch the store for new revisions.
    void setWatchesStore(bool watches);
    void storeReached();

    const ConfigurationReplica &replica() const;

private:
    struct RunningChange {
        ConfigurationChanger changer;
        ChangeHandler handler;
        std::optional<TimePoint> wakeAt;
    };

    void apply(const ReplicaEvent &event);
    void execute(const ReplicaActions &actions);
    void on(const FetchRoot &action);
    void on(const FetchBlob &action);
    void on(const WatchStore &action);
    void on(const AdoptConfiguration &action);
    void on(const PushConfiguration &action);
    void on(const SetAdmitting &action);
    void watch(std::uint64_t afterVersion);
    void readRootFromStore();
    void answerFetch(const HostId &peer, const Wire::ConfigurationFetchT &fetch);
    void executeChangerActions(std::uint64_t id, const ChangerActions &actions);
    void handleChangerEvent(std::uint64_t id, const ChangerEvent &event);

    StoreAccess &m_store;
    RandomEngine &m_random;
    ConfigurationObserver &m_observer;
    Log m_log;
    ConfigurationReplica m_replica;
    std::map<std::uint64_t, RunningChange> m_changes;
    std::uint64_t m_lastChange = 0;
    bool m_watching = false;
    std::uint64_t m_watchGeneration = 0; ///< Incremented when watching starts or stops; answers to watches of an earlier generation are ignored.
};

}
