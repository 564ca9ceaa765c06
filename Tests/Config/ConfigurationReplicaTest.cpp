#include "Config/FleetGenerators.h"

#include "Config/ConfigurationReplica.h"

#include <algorithm>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

/// Returns configurations with consecutive revisions; index 0 has revision 1.
std::vector<FleetConfiguration> makeRevisions(int count)
{
    std::vector<FleetConfiguration> revisions{Testing::exampleConfiguration()};
    while (static_cast<int>(revisions.size()) < count) {
        const auto index = static_cast<int>(revisions.size());
        ConfigurationChange change{ChangeId("c" + std::to_string(index)), UsePreset{PresetName(index % 2 == 0 ? "peak" : "ordinary")}};
        if (index % 3 == 0) {
            change.action = PutPreset{*Testing::anyPreset("p" + std::to_string(index))};
        }
        revisions.push_back(std::get<FleetConfiguration>(applyChange(revisions.back(), change, WallTime())));
    }
    return revisions;
}

/// Runs a replica whose fetches are answered late, out of order, twice or not at all.
class ReplicaRun
{
public:
    explicit ReplicaRun(int revisions)
        : m_revisions(makeRevisions(revisions))
        , m_replica(m_random)
    {
        handleActions(m_replica.start(m_now));
    }

    void randomEvent()
    {
        m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            offer(anySource(), *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 4) == 0);
            break;
        case 1:
            handle(PeerReported{HostId("peer"), anyRevision()});
            break;
        case 2:
            handle(FetchFailed{anySource()});
            break;
        case 3:
            handle(ReplicaTick());
            break;
        default:
            answerFetch(*rc::gen::arbitrary<bool>());
            break;
        }
    }

    /// Lets a peer report the newest revision and answers every fetch with it.
    void catchUp()
    {
        for (int round = 0; round < 50; ++round) {
            m_now += 500ms;
            handle(PeerReported{HostId("newest"), m_revisions.back().revision});
            handle(ReplicaTick());
            while (!m_fetches.empty()) {
                answerNewest();
            }
        }
    }

    const ConfigurationReplica &replica() const
    {
        return m_replica;
    }

    Revision newestRevision() const
    {
        return m_revisions.back().revision;
    }

private:
    Revision anyRevision()
    {
        return static_cast<Revision>(*rc::gen::inRange<int>(1, static_cast<int>(m_revisions.size()) + 1));
    }

    static ConfigurationSource anySource()
    {
        return *rc::gen::arbitrary<bool>() ? ConfigurationSource() : ConfigurationSource{HostId("peer")};
    }

    void offer(const ConfigurationSource &source, bool withBlobs, bool damaged)
    {
        SplitConfiguration split = splitConfiguration(m_revisions[anyRevision() - 1]);
        std::string root = encodeRoot(split.root);
        if (damaged) {
            root.pop_back();
            for (auto &[hash, text] : split.blobs) {
                text += " ";
            }
        }
        if (damaged && withBlobs) {
            root += "}";
        }
        handle(RootOffered{source, root, withBlobs ? split.blobs : ConfigurationBlobs()});
    }

    void answerFetch(bool repeat)
    {
        if (m_fetches.empty()) {
            return;
        }
        const auto chosen = m_fetches.begin() + *rc::gen::inRange<int>(0, static_cast<int>(m_fetches.size()));
        const ReplicaAction fetch = *chosen;
        if (!repeat) {
            m_fetches.erase(chosen);
        }
        if (const auto *blob = std::get_if<FetchBlob>(&fetch)) {
            answerBlob(*blob);
        } else {
            offer(std::get<FetchRoot>(fetch).source, false, false);
        }
    }

    void answerNewest()
    {
        const ReplicaAction fetch = m_fetches.back();
        m_fetches.pop_back();
        if (const auto *blob = std::get_if<FetchBlob>(&fetch)) {
            answerBlob(*blob);
        } else {
            handle(RootOffered{std::get<FetchRoot>(fetch).source, encodeRoot(splitConfiguration(m_revisions.back()).root), {}});
        }
    }

    void answerBlob(const FetchBlob &fetch)
    {
        for (const FleetConfiguration &configuration : m_revisions) {
            const SplitConfiguration split = splitConfiguration(configuration);
            if (split.blobs.contains(fetch.hash)) {
                handle(BlobOffered{fetch.source, split.blobs.at(fetch.hash)});
                return;
            }
        }
    }

    void handle(const ReplicaEvent &event)
    {
        const Revision before = m_replica.revision();
        const bool hadConfiguration = m_replica.configuration() != nullptr;
        const ReplicaActions actions = m_replica.handle(event, m_now);
        RC_ASSERT(m_replica.revision() >= before);
        RC_ASSERT(!hadConfiguration || m_replica.configuration() != nullptr);
        RC_ASSERT(!m_replica.admitting() || m_replica.configuration() != nullptr);
        if (m_replica.configuration() != nullptr) {
            RC_ASSERT(*m_replica.configuration() == m_revisions[m_replica.revision() - 1]);
        }
        handleActions(actions);
    }

    void handleActions(const ReplicaActions &actions)
    {
        for (const ReplicaAction &action : actions) {
            if (const auto *adopt = std::get_if<AdoptConfiguration>(&action)) {
                RC_ASSERT(adopt->configuration->revision > m_lastAdopted);
                m_lastAdopted = adopt->configuration->revision;
            } else if (std::holds_alternative<FetchRoot>(action) || std::holds_alternative<FetchBlob>(action)) {
                m_fetches.push_back(action);
            }
        }
    }

    RandomEngine m_random{7};
    std::vector<FleetConfiguration> m_revisions;
    ConfigurationReplica m_replica;
    std::vector<ReplicaAction> m_fetches;
    TimePoint m_now;
    Revision m_lastAdopted = 0;
};

template<class Action>
const Action *find(const ReplicaActions &actions)
{
    for (const ReplicaAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

RootOffered completeOffer(ConfigurationSource source)
{
    const SplitConfiguration split = splitConfiguration(Testing::exampleConfiguration());
    return {std::move(source), encodeRoot(split.root), split.blobs};
}

}

TEST_GROUP(ConfigurationReplicaTest){};

// Guards against a host that returns to an older configuration or mixes two of them, and against one that never reaches the newest revision.
TEST(ConfigurationReplicaTest, NeverGoesBackAndCatchesUp)
{
    Testing::checkProperty("a replica adopts only higher revisions, whole, and reaches the newest", [] {
        ReplicaRun run(*rc::gen::inRange(1, 9));
        const int events = *rc::gen::inRange(0, 60);
        for (int index = 0; index < events; ++index) {
            run.randomEvent();
        }
        run.catchUp();
        RC_ASSERT(run.replica().revision() == run.newestRevision());
        RC_ASSERT(run.replica().admitting());
    });
}

// Guards against a host that admits requests while it cannot learn of changes, and one that still admits none after contact is restored.
TEST(ConfigurationReplicaTest, AdmitsOnlyWithAConfigurationAndContact)
{
    RandomEngine random(1);
    ConfigurationReplica replica(random);
    TimePoint now;
    replica.start(now);
    replica.handle(PeerReported{HostId("peer"), 0}, now);
    CHECK_FALSE(replica.admitting());
    const ReplicaActions adopted = replica.handle(completeOffer({HostId("peer")}), now);
    CHECK(find<AdoptConfiguration>(adopted) != nullptr);
    CHECK(find<PushConfiguration>(adopted) == nullptr);
    CHECK(find<SetAdmitting>(adopted)->admitting);
    CHECK(find<FetchRoot>(replica.handle(ReplicaTick(), now + 5s)) != nullptr);
    CHECK_TRUE(replica.admitting());
    CHECK_FALSE(find<SetAdmitting>(replica.handle(ReplicaTick(), now + 11s))->admitting);
    CHECK_TRUE(find<SetAdmitting>(replica.handle(StoreReached(), now + 12s))->admitting);
}

// Guards against a change that reaches only the few hosts that watch the store.
TEST(ConfigurationReplicaTest, PushesWhatTheStoreOffers)
{
    RandomEngine random(1);
    ConfigurationReplica replica(random);
    replica.start(TimePoint());
    CHECK_TRUE(find<WatchStore>(replica.handle(WatcherChosen{true}, TimePoint()))->on);
    CHECK(find<PushConfiguration>(replica.handle(completeOffer({}), TimePoint())) != nullptr);
}

// Guards against a host that never reads a root again after its blobs could not be fetched from the store; the watch reports a root only once.
TEST(ConfigurationReplicaTest, ReadsTheStoreAgainAfterAFailedBlob)
{
    RandomEngine random(1);
    ConfigurationReplica replica(random);
    TimePoint now;
    replica.start(now);
    replica.handle(completeOffer({}), now);
    const FleetConfiguration next
        = std::get<FleetConfiguration>(applyChange(Testing::exampleConfiguration(), {ChangeId("n"), PutPreset{{PresetName("night")}}}, WallTime()));
    const ReplicaActions fetches = replica.handle(RootOffered{{}, encodeRoot(splitConfiguration(next).root), {}}, now);
    CHECK(find<FetchBlob>(fetches) != nullptr);
    replica.handle(FetchFailed{{}}, now);
    CHECK(find<FetchRoot>(replica.handle(ReplicaTick(), now + 3s)) != nullptr);
}
