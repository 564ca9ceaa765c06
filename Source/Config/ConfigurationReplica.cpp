#include "Config/ConfigurationReplica.h"

#include "Base/Hash.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Mangofall {

ConfigurationReplica::ConfigurationReplica(RandomEngine &random, ReplicaLimits limits)
    : m_random(random)
    , m_limits(limits)
{
}

const std::shared_ptr<const FleetConfiguration> &ConfigurationReplica::configuration() const
{
    return m_configuration;
}

const std::shared_ptr<const SplitConfiguration> &ConfigurationReplica::contents() const
{
    return m_contents;
}

Revision ConfigurationReplica::revision() const
{
    return m_configuration == nullptr ? 0 : m_configuration->revision;
}

bool ConfigurationReplica::admitting() const
{
    return m_admitting;
}

std::uint64_t ConfigurationReplica::rejectedOffers() const
{
    return m_rejectedOffers;
}

ReplicaActions ConfigurationReplica::start(TimePoint now)
{
    ReplicaActions actions;
    m_lastContact = now;
    probeStore(now, actions);
    return actions;
}

ReplicaActions ConfigurationReplica::handle(const ReplicaEvent &event, TimePoint now)
{
    ReplicaActions actions;
    std::visit(
        [&](const auto &typed) {
            on(typed, now, actions);
        },
        event);
    updateAdmitting(now, actions);
    return actions;
}

void ConfigurationReplica::on(const RootOffered &offer, TimePoint now, ReplicaActions &actions)
{
    recordContact(now);
    endFetch(offer.source);
    m_readStoreAgain = m_readStoreAgain && offer.source.peer.has_value();
    ConfigurationProblems problems;
    std::optional<ConfigurationRoot> root = decodeRoot(offer.root, problems);
    if (!root.has_value()) {
        ++m_rejectedOffers;
        return;
    }
    const Revision newestRevision = m_candidate.has_value() ? m_candidate->split.root.revision : revision();
    if (root->revision > newestRevision) {
        replaceCandidate(offer, std::move(*root));
        adoptOrFetchBlobs(now, actions);
    }
}

void ConfigurationReplica::replaceCandidate(const RootOffered &offer, ConfigurationRoot root)
{
    ConfigurationBlobs knownBlobs = m_candidate.has_value() ? std::move(m_candidate->split.blobs) : ConfigurationBlobs();
    if (m_contents != nullptr) {
        knownBlobs.insert(m_contents->blobs.begin(), m_contents->blobs.end());
    }
    m_candidate = Candidate{offer.source, {std::move(root), {}}};
    for (const std::string &hash : missingBlobs(m_candidate->split.root, {})) {
        const auto sentBlob = offer.blobs.find(hash);
        if (const auto found = knownBlobs.find(hash); found != knownBlobs.end()) {
            m_candidate->split.blobs[hash] = found->second;
        } else if (sentBlob != offer.blobs.end()) {
            addBlob(hash, sentBlob->second);
        }
    }
}

void ConfigurationReplica::addBlob(const std::string &hash, const std::string &text)
{
    if (contentHash(text) == hash) {
        m_candidate->split.blobs[hash] = text;
    } else {
        ++m_rejectedOffers;
    }
}

void ConfigurationReplica::adoptOrFetchBlobs(TimePoint now, ReplicaActions &actions)
{
    const std::vector<std::string> missing = missingBlobs(m_candidate->split.root, m_candidate->split.blobs);
    if (missing.empty()) {
        adopt(actions);
        fetchIfBehind(now, actions);
        return;
    }
    m_fetch = Fetch{m_candidate->source, now + m_limits.fetchTimeout};
    for (const std::string &hash : missing) {
        actions.emplace_back(FetchBlob{m_candidate->source, hash});
    }
}

void ConfigurationReplica::adopt(ReplicaActions &actions)
{
    Candidate candidate = std::move(*m_candidate);
    m_candidate.reset();
    m_fetch.reset();
    const ConfigurationRoot *previousRoot = m_contents == nullptr ? nullptr : &m_contents->root;
    ConfigurationProblems problems;
    auto joined = joinConfiguration(candidate.split.root, candidate.split.blobs, problems, previousRoot, m_configuration.get());
    if (!joined.has_value()) {
        ++m_rejectedOffers;
        return;
    }
    m_configuration = std::make_shared<const FleetConfiguration>(std::move(*joined));
    m_contents = std::make_shared<const SplitConfiguration>(std::move(candidate.split));
    actions.emplace_back(AdoptConfiguration{m_configuration});
    // A host that received the configuration from a peer does not push it: the pushing host sends it to the whole data centre, and hosts that miss the push
    // learn of the revision from heartbeats.
    if (!candidate.source.peer.has_value()) {
        actions.emplace_back(PushConfiguration{revision()});
    }
}

void ConfigurationReplica::on(const BlobOffered &offer, TimePoint now, ReplicaActions &actions)
{
    recordContact(now);
    if (!m_candidate.has_value()) {
        return;
    }
    std::string hash = contentHash(offer.text);
    const std::vector<std::string> missing = missingBlobs(m_candidate->split.root, m_candidate->split.blobs);
    if (std::ranges::find(missing, hash) == missing.end()) {
        ++m_rejectedOffers;
        return;
    }
    m_candidate->split.blobs[std::move(hash)] = offer.text;
    if (missing.size() == 1) {
        adopt(actions);
        fetchIfBehind(now, actions);
    }
}

void ConfigurationReplica::on(const FetchFailed &failure, TimePoint now, ReplicaActions &actions)
{
    if (m_fetch.has_value() && m_fetch->source == failure.source) {
        abandonFetch(failure.source, now, actions);
    }
}

void ConfigurationReplica::on(const PeerReported &report, TimePoint now, ReplicaActions &actions)
{
    recordContact(now);
    m_peerRevisions[report.peer] = report.revision;
    fetchIfBehind(now, actions);
}

void ConfigurationReplica::on(const StoreReached &, TimePoint now, ReplicaActions &)
{
    recordContact(now);
}

void ConfigurationReplica::on(const WatcherChosen &chosen, TimePoint, ReplicaActions &actions)
{
    if (chosen.watches != m_watchesStore) {
        m_watchesStore = chosen.watches;
        actions.emplace_back(WatchStore{m_watchesStore});
    }
}

void ConfigurationReplica::on(const ReplicaTick &, TimePoint now, ReplicaActions &actions)
{
    if (m_fetch.has_value() && now >= m_fetch->deadline) {
        abandonFetch(ConfigurationSource(m_fetch->source), now, actions);
    }
    fetchIfBehind(now, actions);
    // Starting at a third of the limit leaves time for several probes before the host stops admitting requests.
    const bool contactLost = now - m_lastContact > m_limits.isolationLimit / 3;
    if ((contactLost || m_readStoreAgain || m_configuration == nullptr) && !m_fetch.has_value() && now >= m_nextStoreProbe) {
        probeStore(now, actions);
    }
}

void ConfigurationReplica::endFetch(const ConfigurationSource &source)
{
    if (m_fetch.has_value() && m_fetch->source == source && !m_candidate.has_value()) {
        m_fetch.reset();
    }
}

// A peer is a candidate source again after its next heartbeat.
void ConfigurationReplica::abandonFetch(const ConfigurationSource &source, TimePoint now, ReplicaActions &actions)
{
    m_fetch.reset();
    m_candidate.reset();
    if (source.peer.has_value()) {
        m_peerRevisions.erase(*source.peer);
    } else {
        // The watch does not report the same root twice.
        m_readStoreAgain = true;
    }
    fetchIfBehind(now, actions);
}

void ConfigurationReplica::fetchIfBehind(TimePoint now, ReplicaActions &actions)
{
    if (m_fetch.has_value()) {
        return;
    }
    Revision highest = revision();
    std::vector<HostId> newestPeers;
    for (const auto &[peer, peerRevision] : m_peerRevisions) {
        if (peerRevision > highest) {
            highest = peerRevision;
            newestPeers.clear();
        }
        if (peerRevision == highest && peerRevision > revision()) {
            newestPeers.push_back(peer);
        }
    }
    if (newestPeers.empty()) {
        return;
    }
    // A random choice spreads the fetches of many outdated hosts over the peers.
    std::uniform_int_distribution<std::size_t> choice(0, newestPeers.size() - 1);
    const ConfigurationSource source{newestPeers[choice(m_random)]};
    m_fetch = Fetch{source, now + m_limits.fetchTimeout};
    actions.emplace_back(FetchRoot{source});
}

void ConfigurationReplica::probeStore(TimePoint now, ReplicaActions &actions)
{
    // The next probe follows after one to two intervals, so that hosts that started together do not keep reading at the same time.
    std::uniform_int_distribution<Duration::rep> jitter(0, m_limits.storeProbeInterval.count());
    m_nextStoreProbe = now + m_limits.storeProbeInterval + Duration(jitter(m_random));
    actions.emplace_back(FetchRoot{ConfigurationSource()});
}

void ConfigurationReplica::recordContact(TimePoint now)
{
    m_lastContact = std::max(m_lastContact, now);
}

void ConfigurationReplica::updateAdmitting(TimePoint now, ReplicaActions &actions)
{
    const bool admitting = m_configuration != nullptr && now - m_lastContact <= m_limits.isolationLimit;
    if (admitting != m_admitting) {
        m_admitting = admitting;
        actions.emplace_back(SetAdmitting{admitting});
    }
}

}
