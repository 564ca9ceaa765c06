#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
#include "Base/Time.h"
#include "Config/ConfigurationRoot.h"
#include "Config/FleetConfiguration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Mangofall {

/**
 * \class ConfigurationSource
 * \brief Where a configuration comes from: a peer, or the platform's store if no peer is named.
 */
struct ConfigurationSource {
    std::optional<HostId> peer;

    friend bool operator==(const ConfigurationSource &, const ConfigurationSource &) = default;
};

/// A root arrived: a watch's or read's result, a push, a fetch's answer, or this host's own accepted change.
struct RootOffered {
    ConfigurationSource source;
    std::string root;
    ConfigurationBlobs blobs; ///< Those that the source sent along; may be empty.
};

/// The answer to FetchBlob.
struct BlobOffered {
    ConfigurationSource source;
    std::string text;
};

/// A fetch ended without an answer.
struct FetchFailed {
    ConfigurationSource source;
};

/// A heartbeat told \a revision of \a peer.
struct PeerReported {
    HostId peer;
    Revision revision = 0;
};

/// The store answered a call, whatever the call was.
struct StoreReached {
};

/// Whether this host is one of the few of its data centre that watch the store.
struct WatcherChosen {
    bool watches = false;
};

struct ReplicaTick {
};

using ReplicaEvent = std::variant<RootOffered, BlobOffered, FetchFailed, PeerReported, StoreReached, WatcherChosen, ReplicaTick>;

/// Read the root from \a source; answered by RootOffered or FetchFailed.
struct FetchRoot {
    ConfigurationSource source;
};

/// Read a blob from \a source; answered by BlobOffered or FetchFailed.
struct FetchBlob {
    ConfigurationSource source;
    std::string hash;
};

/// Start or stop the watch on the store's root key.
struct WatchStore {
    bool on = false;
};

/// A newer configuration is in force on this host.
struct AdoptConfiguration {
    std::shared_ptr<const FleetConfiguration> configuration;
};

/// Push the current root to the peers of the data centre; contents() has it.
struct PushConfiguration {
    Revision revision = 0;
};

/// Whether this host may admit requests.
struct SetAdmitting {
    bool admitting = false;
};

using ReplicaAction = std::variant<FetchRoot, FetchBlob, WatchStore, AdoptConfiguration, PushConfiguration, SetAdmitting>;
using ReplicaActions = std::vector<ReplicaAction>;

/// Constants of ConfigurationReplica.
struct ReplicaLimits {
    Duration fetchTimeout = std::chrono::seconds(2); ///< After it another source is tried.
    /// Without contact to store or peers for this long, the host stops admitting: ten missed heartbeats at one per second.
    Duration isolationLimit = std::chrono::seconds(10);
    Duration storeProbeInterval = std::chrono::seconds(1); ///< Least time between reads of the store by a host without contact.
};

/**
 * \class ConfigurationReplica
 * \brief A host's copy of the fleet configuration; it adopts only higher revisions.
 *
 * A tick is due at least every 100 ms.
 */
class ConfigurationReplica
{
public:
    /// \p random must outlive the replica.
    explicit ConfigurationReplica(RandomEngine &random, ReplicaLimits limits = {});

    ReplicaActions start(TimePoint now);
    ReplicaActions handle(const ReplicaEvent &event, TimePoint now);

    /// The configuration in force on this host; null before the first one.
    const std::shared_ptr<const FleetConfiguration> &configuration() const;
    /// Its root and blobs, for answers to peers; null before the first one.
    const std::shared_ptr<const SplitConfiguration> &contents() const;
    Revision revision() const;
    bool admitting() const;
    /// Offers that were malformed or whose blobs did not match their hashes.
    std::uint64_t rejectedOffers() const;

private:
    /// A newer root whose blobs are not complete yet.
    struct Candidate {
        ConfigurationSource source;
        SplitConfiguration split;
    };

    struct Fetch {
        ConfigurationSource source;
        TimePoint deadline;
    };

    void on(const RootOffered &offer, TimePoint now, ReplicaActions &actions);
    void on(const BlobOffered &offer, TimePoint now, ReplicaActions &actions);
    void on(const FetchFailed &failure, TimePoint now, ReplicaActions &actions);
    void on(const PeerReported &report, TimePoint now, ReplicaActions &actions);
    void on(const StoreReached &reached, TimePoint now, ReplicaActions &actions);
    void on(const WatcherChosen &chosen, TimePoint now, ReplicaActions &actions);
    void on(const ReplicaTick &tick, TimePoint now, ReplicaActions &actions);

    void endFetch(const ConfigurationSource &source);
    void takeCandidate(const RootOffered &offer, ConfigurationRoot root);
    void addBlob(const std::string &hash, const std::string &text);
    /// Adopts the candidate if its blobs are complete, otherwise fetches those that it lacks.
    void adoptOrFetchBlobs(TimePoint now, ReplicaActions &actions);
    void adopt(ReplicaActions &actions);
    void dropSource(const ConfigurationSource &source, TimePoint now, ReplicaActions &actions);
    void fetchIfBehind(TimePoint now, ReplicaActions &actions);
    void probeStore(TimePoint now, ReplicaActions &actions);
    void contact(TimePoint now);
    void updateAdmitting(TimePoint now, ReplicaActions &actions);

    RandomEngine &m_random;
    ReplicaLimits m_limits;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<const SplitConfiguration> m_contents;
    std::optional<Candidate> m_candidate;
    std::optional<Fetch> m_fetch;
    std::map<HostId, Revision> m_peers;
    TimePoint m_lastContact;
    TimePoint m_nextProbe;
    bool m_admitting = false;
    bool m_watches = false;
    bool m_readStoreAgain = false; ///< A root from the store was given up because its blobs did not come.
    std::uint64_t m_rejectedOffers = 0;
};

}
