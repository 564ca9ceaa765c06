#include "Daemon/ConfigurationRuntime.h"

#include "Daemon/WireAttempt.h"

namespace Mangofall {

namespace {

constexpr std::chrono::seconds changeTimeout{5};

ConfigurationSource fromStore()
{
    return {};
}

ConfigurationSource fromPeer(const HostId &peer)
{
    return {peer};
}

WallTime wallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}

ConfigurationRuntime::ConfigurationRuntime(StoreAccess &store, RandomEngine &random, ConfigurationObserver &observer)
    : m_store(store)
    , m_random(random)
    , m_observer(observer)
    , m_log("configuration")
    , m_replica(random)
{
}

void ConfigurationRuntime::start()
{
    execute(m_replica.start(std::chrono::steady_clock::now()));
}

void ConfigurationRuntime::tick()
{
    apply(ReplicaTick{});
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> due;
    for (const auto &[id, change] : m_changes) {
        if (change.wakeAt && *change.wakeAt <= now) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        m_changes.at(id).wakeAt.reset();
        handleChangerEvent(id, ChangerTick{});
    }
}

void ConfigurationRuntime::submit(ConfigurationChange change, ChangeHandler handler)
{
    const std::uint64_t id = ++m_lastChange;
    m_log.info("Change " + change.id.value() + ": " + changeSummary(change) + ".");
    ConfigurationChanger changer(std::move(change), changeTimeout, wallTime(), m_random);
    RunningChange &running = m_changes.emplace(id, RunningChange{std::move(changer), std::move(handler), {}}).first->second;
    executeChangerActions(id, running.changer.start(std::chrono::steady_clock::now()));
}

bool ConfigurationRuntime::handle(const HostId &peer, const Wire::PeerMessageT &message)
{
    if (const Wire::ConfigurationRootT *root = message.body.AsConfigurationRoot()) {
        apply(RootOffered{fromPeer(peer), root->root, {}});
    } else if (const Wire::ConfigurationFetchT *fetch = message.body.AsConfigurationFetch()) {
        answerFetch(peer, *fetch);
    } else if (const Wire::ConfigurationBlobT *blob = message.body.AsConfigurationBlob()) {
        if (blob->missing) {
            apply(FetchFailed{fromPeer(peer)});
        } else {
            apply(BlobOffered{fromPeer(peer), blob->text});
        }
    } else {
        return false;
    }
    return true;
}

void ConfigurationRuntime::peerReported(const HostId &peer, Revision revision)
{
    apply(PeerReported{peer, revision});
}

void ConfigurationRuntime::setWatchesStore(bool watches)
{
    apply(WatcherChosen{watches});
}

void ConfigurationRuntime::storeReached()
{
    apply(StoreReached{});
}

const ConfigurationReplica &ConfigurationRuntime::replica() const
{
    return m_replica;
}

void ConfigurationRuntime::apply(const ReplicaEvent &event)
{
    execute(m_replica.handle(event, std::chrono::steady_clock::now()));
}

void ConfigurationRuntime::execute(const ReplicaActions &actions)
{
    for (const ReplicaAction &action : actions) {
        std::visit(
            [this](const auto &typed) {
                on(typed);
            },
            action);
    }
}

void ConfigurationRuntime::on(const FetchRoot &action)
{
    if (!action.source.peer) {
        readRootFromStore();
        return;
    }
    m_observer.sendToPeer(*action.source.peer, toMessage(Wire::ConfigurationFetchT()));
}

void ConfigurationRuntime::on(const FetchBlob &action)
{
    if (action.source.peer) {
        Wire::ConfigurationFetchT fetch;
        fetch.hash = action.hash;
        m_observer.sendToPeer(*action.source.peer, toMessage(std::move(fetch)));
        return;
    }
    m_store.read(blobKey(action.hash), StorePriority::Configuration, [this](const StoreReadDone &read) {
        if (read.status == StoreReadStatus::Found) {
            apply(BlobOffered{fromStore(), read.value});
        } else {
            apply(FetchFailed{fromStore()});
        }
    });
}

void ConfigurationRuntime::on(const WatchStore &action)
{
    ++m_watchGeneration;
    m_watching = action.on;
    if (action.on) {
        watch(0);
    }
}

void ConfigurationRuntime::on(const AdoptConfiguration &action)
{
    m_log.info("Revision " + std::to_string(action.configuration->revision) + " with preset " + action.configuration->presetInForce.value() + " is in force.");
    m_observer.configurationAdopted(action.configuration);
}

void ConfigurationRuntime::on(const PushConfiguration &)
{
    const std::string root = encodeRoot(m_replica.contents()->root);
    for (const auto &[host, address] : m_observer.peersOfDataCentre()) {
        Wire::ConfigurationRootT push;
        push.root = root;
        m_observer.sendToPeer(host, toMessage(std::move(push)));
    }
}

void ConfigurationRuntime::on(const SetAdmitting &action)
{
    m_log.info(action.admitting ? "Requests are admitted." : "Requests are refused: neither the store nor any peer can be reached.");
    m_observer.admittingChanged(action.admitting);
}

void ConfigurationRuntime::watch(std::uint64_t afterVersion)
{
    m_store.watch(rootKey, afterVersion, [this, afterVersion, generation = m_watchGeneration](const StoreReadDone &read) {
        if (generation != m_watchGeneration || !m_watching) {
            return;
        }
        if (read.status == StoreReadStatus::Found) {
            apply(RootOffered{fromStore(), read.value, {}});
        } else if (read.status != StoreReadStatus::Failed) {
            apply(StoreReached{});
        }
        watch(std::max(afterVersion, read.version));
    });
}

void ConfigurationRuntime::readRootFromStore()
{
    m_store.read(rootKey, StorePriority::Configuration, [this](const StoreReadDone &read) {
        if (read.status == StoreReadStatus::Found) {
            apply(RootOffered{fromStore(), read.value, {}});
        } else {
            apply(FetchFailed{fromStore()});
        }
    });
}

void ConfigurationRuntime::answerFetch(const HostId &peer, const Wire::ConfigurationFetchT &fetch)
{
    const std::shared_ptr<const SplitConfiguration> &contents = m_replica.contents();
    if (fetch.hash.empty()) {
        if (contents) {
            Wire::ConfigurationRootT answer;
            answer.root = encodeRoot(contents->root);
            m_observer.sendToPeer(peer, toMessage(std::move(answer)));
        }
        return;
    }
    Wire::ConfigurationBlobT answer;
    answer.hash = fetch.hash;
    const bool known = contents && contents->blobs.contains(fetch.hash);
    answer.missing = !known;
    if (known) {
        answer.text = contents->blobs.at(fetch.hash);
    }
    m_observer.sendToPeer(peer, toMessage(std::move(answer)));
}

void ConfigurationRuntime::handleChangerEvent(std::uint64_t id, const ChangerEvent &event)
{
    const auto position = m_changes.find(id);
    if (position != m_changes.end()) {
        executeChangerActions(id, position->second.changer.handle(event, std::chrono::steady_clock::now()));
    }
}

void ConfigurationRuntime::executeChangerActions(std::uint64_t id, const ChangerActions &actions)
{
    for (const ChangerAction &action : actions) {
        if (const auto *read = std::get_if<ReadConfigurationKey>(&action)) {
            m_store.read(read->key, StorePriority::Configuration, [this, id](const StoreReadDone &done) {
                handleChangerEvent(id, done);
            });
        } else if (const auto *write = std::get_if<WriteConfigurationKey>(&action)) {
            m_store.compareAndSwap(write->key, write->value, write->expectedVersion, StorePriority::Configuration, [this, id](const StoreWriteDone &done) {
                handleChangerEvent(id, done);
            });
        } else if (const auto *wake = std::get_if<WakeChangerAt>(&action)) {
            m_changes.at(id).wakeAt = wake->time;
        } else if (const auto *finished = std::get_if<ChangeFinished>(&action)) {
            const auto node = m_changes.extract(id);
            const RunningChange &change = node.mapped();
            if (change.changer.accepted()) {
                const SplitConfiguration &accepted = *change.changer.accepted();
                apply(RootOffered{fromStore(), encodeRoot(accepted.root), accepted.blobs});
            }
            change.handler(finished->answer);
            return;
        }
    }
}

}
