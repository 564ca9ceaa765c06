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
 * \brief The source of a configuration: a peer, or the platform's store if \c peer is empty.
 */
struct ConfigurationSource {
    std::optional<HostId> peer;

    friend bool operator==(const ConfigurationSource &, const ConfigurationSource &) = default;
};

/// A root was received: as the result of a watch or read of the store, pushed by a peer, as the answer to FetchRoot, or from a change that this host made.
struct RootOffered {
    ConfigurationSource source;
    std::string root;
    ConfigurationBlobs blobs; ///< Blobs that the source sent with the root; may be empty.
};

/// A blob was received as the answer to FetchBlob.
struct BlobOffered {
    ConfigurationSource source;
    std::string text;
};

/// A FetchRoot or FetchBlob ended without an answer.
struct FetchFailed {
    ConfigurationSource source;
};

/// A heartbeat of \a peer reported the revision that is in force there.
struct PeerReported {
    HostId peer;
    Revision revision = 0;
};

/// The store answered a call of any kind, which shows that it can be reached.
struct StoreReached {
};

/// Reports whether this host is one of the few of its data centre that watch the store.
struct WatcherChosen {
    bool watches = false;
};

/// Some time has passed: deadlines are checked and the store is probed if it is due.
struct ReplicaTick {
};

using ReplicaEvent = std::variant<RootOffered, BlobOffered, FetchFailed, PeerReported, StoreReached, WatcherChosen, ReplicaTick>;

/// Reads the root from \a source; answered by RootOffered or FetchFailed.
struct FetchRoot {
    ConfigurationSource source;
};

/// Reads a blob from \a source; answered by BlobOffered or FetchFailed.
struct FetchBlob {
    ConfigurationSource source;
    std::string hash;
};

/// Starts or stops the watch on the root key in the store.
struct WatchStore {
    bool on = false;
};

/// Puts a newer configuration in force on this host.
struct AdoptConfiguration {
    std::shared_ptr<const FleetConfiguration> configuration;
};

/// Pushes the current root, which contents() returns, to the peers of the data centre.
struct PushConfiguration {
    Revision revision = 0;
};

/// Sets whether this host may admit requests.
struct SetAdmitting {
    bool admitting = false;
};

using ReplicaAction = std::variant<FetchRoot, FetchBlob, WatchStore, AdoptConfiguration, PushConfiguration, SetAdmitting>;
using ReplicaActions = std::vector<ReplicaAction>;

/// Timeouts and intervals of ConfigurationReplica.
struct ReplicaLimits {
    Duration fetchTimeout = std::chrono::seconds(2); ///< Time after which an unanswered fetch is abandoned and another source is tried.
    /// The host stops admitting requests after this time without contact to the store or a peer; equals ten missed heartbeats at one per second.
    Duration isolationLimit = std::chrono::seconds(10);
    /// Minimum time between two probes of the store; only hosts that lack contact or a configuration, or abandoned a root, probe it.
    Duration storeProbeInterval = std::chrono::seconds(1);
};

/**
 * \class ConfigurationReplica
 * \brief A host's copy of the fleet configuration, which adopts only higher revisions.
 *
 * A ReplicaTick must be handled at least every 100 ms.
 */
class ConfigurationReplica
{
public:
    /// \p random must outlive the replica.
    explicit ConfigurationReplica(RandomEngine &random, ReplicaLimits limits = {});

    ReplicaActions start(TimePoint now);
    ReplicaActions handle(const ReplicaEvent &event, TimePoint now);

    /// The configuration in force on this host; null until one is adopted.
    const std::shared_ptr<const FleetConfiguration> &configuration() const;
    /// The root and blobs of the configuration in force, for answers to peers; null until one is adopted.
    const std::shared_ptr<const SplitConfiguration> &contents() const;
    Revision revision() const;
    bool admitting() const;
    /// Number of rejected roots and blobs: malformed roots, blobs that match no missing hash, and configurations that cannot be joined.
    std::uint64_t rejectedOffers() const;

private:
    /// A root newer than the one in force, with the blobs received so far.
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
    void replaceCandidate(const RootOffered &offer, ConfigurationRoot root);
    void addBlob(const std::string &hash, const std::string &text);
    /// Adopts the candidate if all its blobs are present, otherwise fetches the missing ones.
    void adoptOrFetchBlobs(TimePoint now, ReplicaActions &actions);
    void adopt(ReplicaActions &actions);
    /// Abandons the fetch from \p source and the candidate, then fetches from a peer if one is known to have a newer revision.
    void abandonFetch(const ConfigurationSource &source, TimePoint now, ReplicaActions &actions);
    /// Fetches the root from a peer with the highest reported revision if that is newer than the one in force and no fetch is running.
    void fetchIfBehind(TimePoint now, ReplicaActions &actions);
    void probeStore(TimePoint now, ReplicaActions &actions);
    void recordContact(TimePoint now);
    void updateAdmitting(TimePoint now, ReplicaActions &actions);

    RandomEngine &m_random;
    ReplicaLimits m_limits;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<const SplitConfiguration> m_contents;
    std::optional<Candidate> m_candidate;
    std::optional<Fetch> m_fetch;
    std::map<HostId, Revision> m_peerRevisions;
    TimePoint m_lastContact;
    TimePoint m_nextStoreProbe;
    bool m_admitting = false;
    bool m_watchesStore = false;
    bool m_readStoreAgain = false; ///< A root from the store was abandoned because its blobs could not be fetched.
    std::uint64_t m_rejectedOffers = 0;
};

}
