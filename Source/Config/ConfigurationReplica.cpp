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
    contact(now);
    endFetch(offer.source);
    m_readStoreAgain = m_readStoreAgain && offer.source.peer.has_value();
    ConfigurationProblems problems;
    std::optional<ConfigurationRoot> root = decodeRoot(offer.root, problems);
    if (!root.has_value()) {
        ++m_rejectedOffers;
        return;
    }
    const Revision newest = m_candidate.has_value() ? m_candidate->split.root.revision : revision();
    if (root->revision > newest) {
        takeCandidate(offer, std::move(*root));
        adoptOrFetchBlobs(now, actions);
    }
}

void ConfigurationReplica::takeCandidate(const RootOffered &offer, ConfigurationRoot root)
{
    ConfigurationBlobs known = m_candidate.has_value() ? std::move(m_candidate->split.blobs) : ConfigurationBlobs();
    if (m_contents != nullptr) {
        known.insert(m_contents->blobs.begin(), m_contents->blobs.end());
    }
    m_candidate = Candidate{offer.source, {std::move(root), {}}};
    for (const std::string &hash : missingBlobs(m_candidate->split.root, {})) {
        const auto sent = offer.blobs.find(hash);
        if (const auto found = known.find(hash); found != known.end()) {
            m_candidate->split.blobs[hash] = found->second;
        } else if (sent != offer.blobs.end()) {
            addBlob(hash, sent->second);
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
    // Hosts that got it from a peer don't push again: the pushing host reaches all of the data centre, and heartbeats reveal a lost push.
    if (!candidate.source.peer.has_value()) {
        actions.emplace_back(PushConfiguration{revision()});
    }
}

void ConfigurationReplica::on(const BlobOffered &offer, TimePoint now, ReplicaActions &actions)
{
    contact(now);
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
        dropSource(failure.source, now, actions);
    }
}

void ConfigurationReplica::on(const PeerReported &report, TimePoint now, ReplicaActions &actions)
{
    contact(now);
    m_peers[report.peer] = report.revision;
    fetchIfBehind(now, actions);
}

void ConfigurationReplica::on(const StoreReached &, TimePoint now, ReplicaActions &)
{
    contact(now);
}

void ConfigurationReplica::on(const WatcherChosen &chosen, TimePoint, ReplicaActions &actions)
{
    if (chosen.watches != m_watches) {
        m_watches = chosen.watches;
        actions.emplace_back(WatchStore{m_watches});
    }
}

void ConfigurationReplica::on(const ReplicaTick &, TimePoint now, ReplicaActions &actions)
{
    if (m_fetch.has_value() && now >= m_fetch->deadline) {
        dropSource(ConfigurationSource(m_fetch->source), now, actions);
    }
    fetchIfBehind(now, actions);
    // A third of the limit leaves time for several probes before the host stops admitting.
    const bool silent = now - m_lastContact > m_limits.isolationLimit / 3;
    if ((silent || m_readStoreAgain || m_configuration == nullptr) && !m_fetch.has_value() && now >= m_nextProbe) {
        probeStore(now, actions);
    }
}

void ConfigurationReplica::endFetch(const ConfigurationSource &source)
{
    if (m_fetch.has_value() && m_fetch->source == source && !m_candidate.has_value()) {
        m_fetch.reset();
    }
}

// The peer is asked again after its next heartbeat.
void ConfigurationReplica::dropSource(const ConfigurationSource &source, TimePoint now, ReplicaActions &actions)
{
    m_fetch.reset();
    m_candidate.reset();
    if (source.peer.has_value()) {
        m_peers.erase(*source.peer);
    } else {
        // The watch doesn't offer the same root twice.
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
    std::vector<HostId> newest;
    for (const auto &[peer, peerRevision] : m_peers) {
        if (peerRevision > highest) {
            highest = peerRevision;
            newest.clear();
        }
        if (peerRevision == highest && peerRevision > revision()) {
            newest.push_back(peer);
        }
    }
    if (newest.empty()) {
        return;
    }
    // A random choice spreads the fetches of many hosts that are behind.
    std::uniform_int_distribution<std::size_t> choice(0, newest.size() - 1);
    const ConfigurationSource source{newest[choice(m_random)]};
    m_fetch = Fetch{source, now + m_limits.fetchTimeout};
    actions.emplace_back(FetchRoot{source});
}

void ConfigurationReplica::probeStore(TimePoint now, ReplicaActions &actions)
{
    // Between one and two intervals, so that hosts that started together don't read together for ever.
    std::uniform_int_distribution<Duration::rep> jitter(0, m_limits.storeProbeInterval.count());
    m_nextProbe = now + m_limits.storeProbeInterval + Duration(jitter(m_random));
    actions.emplace_back(FetchRoot{ConfigurationSource()});
}

void ConfigurationReplica::contact(TimePoint now)
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
