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
 * \brief What the configuration runtime tells the rest of the control thread.
 */
class ConfigurationObserver
{
public:
    virtual ~ConfigurationObserver() = default;
    virtual void configurationAdopted(const std::shared_ptr<const FleetConfiguration> &configuration) = 0;
    virtual void admittingChanged(bool admitting) = 0;
    /// Sends to a live host; dropped if it is not known.
    virtual void sendToPeer(const HostId &host, Wire::PeerMessageT &&message) = 0;
    virtual std::map<HostId, PeerAddress> peersOfDataCentre() const = 0;
};

/**
 * \class ConfigurationRuntime
 * \brief Drives this host's configuration replica and the changes that operators submit here.
 */
class ConfigurationRuntime
{
public:
    using ChangeHandler = std::function<void(const ChangeAnswer &)>;

    /// All arguments must outlive the runtime.
    ConfigurationRuntime(StoreAccess &store, RandomEngine &random, ConfigurationObserver &observer);

    void start();
    /// Periodic, every 100 ms.
    void tick();
    /// Makes \p change in the store; \p handler hears the answer.
    void submit(ConfigurationChange change, ChangeHandler handler);

    /// True if \p message, which came from \p peer, was one of configuration.
    bool handle(const HostId &peer, const Wire::PeerMessageT &message);
    void peerReported(const HostId &peer, Revision revision);
    /// Whether this host is one of the few of its data centre that watch the store.
    void setWatches(bool watches);
    void storeReached();

    const ConfigurationReplica &replica() const;

private:
    struct RunningChange {
        ConfigurationChanger changer;
        ChangeHandler handler;
        std::optional<TimePoint> wakeAt;
    };

    void apply(const ReplicaEvent &event);
    void carryOut(const ReplicaActions &actions);
    void on(const FetchRoot &action);
    void on(const FetchBlob &action);
    void on(const WatchStore &action);
    void on(const AdoptConfiguration &action);
    void on(const PushConfiguration &action);
    void on(const SetAdmitting &action);
    void watch(std::uint64_t afterVersion);
    void readRootFromStore();
    void answerFetch(const HostId &peer, const Wire::ConfigurationFetchT &fetch);
    void handleChanger(std::uint64_t id, const ChangerActions &actions);
    void feed(std::uint64_t id, const ChangerEvent &event);

    StoreAccess &m_store;
    RandomEngine &m_random;
    ConfigurationObserver &m_observer;
    Log m_log;
    ConfigurationReplica m_replica;
    std::map<std::uint64_t, RunningChange> m_changes;
    std::uint64_t m_lastChange = 0;
    bool m_watching = false;
    std::uint64_t m_watchGeneration = 0; ///< An answer to a watch of an earlier generation is ignored.
};

}
