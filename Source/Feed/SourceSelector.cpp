#include "Feed/SourceSelector.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace Mangofall::Feed {

namespace {

// The store is tried again soon as long as no other source fills in.
constexpr std::chrono::milliseconds baseStoreBackoff{40};
constexpr std::chrono::milliseconds maxStoreBackoff{320};
// Each call to the store is charged and counts against its rate limit, so that it is tried less often while peers fill in.
constexpr std::chrono::milliseconds baseStoreBackoffBesidePeers{300};
constexpr std::chrono::milliseconds maxStoreBackoffBesidePeers{1200};
// A follower tries the store least often, since its readers notice by themselves when the store answers again.
constexpr std::chrono::milliseconds maxFollowerStoreBackoff{2400};
constexpr std::chrono::milliseconds basePeerBackoff{400};
constexpr std::chrono::milliseconds maxPeerBackoff{1600};
// While a fleet starts, hosts appear within about a quarter of a second of each other.
constexpr std::chrono::milliseconds basePeerBackoffAtStart{60};
// Most readers have started within this time if they start at all, so that most followers read from them.
constexpr std::chrono::milliseconds storeReadSpread{200};
constexpr unsigned maxDoublings = 4;
// Backoff times are spread from this fraction of their length to their full length.
constexpr double minSpread = 0.6;
constexpr std::chrono::milliseconds startingRetryInterval{60};
// A reader needs about two seconds for the keys of ten thousand upstreams on a link of 20 Mbit/s.
constexpr std::chrono::milliseconds startingPatience{4000};
// An independent host asks at most this many peers while the store does not answer it.
constexpr std::size_t maxIndependentPeers = 3;

}

SourceSelector::SourceSelector(HostId self, ReaderLimits limits, Duration maxAge, RandomEngine random)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_maxAge(maxAge)
    , m_random(random)
    , m_further(random)
{
}

void SourceSelector::setHosts(const std::vector<FeedHost> &hosts)
{
    const std::vector<FeedHost> readers = selectReaders(hosts, m_limits);
    if (readers.empty()) {
        m_role = FeedRole::Independent;
        m_peers = orderReaders(hosts, m_self);
        m_peers.resize(std::min(m_peers.size(), maxIndependentPeers));
    } else {
        const bool reads = std::any_of(readers.begin(), readers.end(), [&](const FeedHost &reader) {
            return reader.id == m_self;
        });
        m_role = reads ? FeedRole::Reader : FeedRole::Follower;
        m_peers = orderReaders(readers, m_self);
    }
    std::vector<HostId> further;
    for (const FeedHost &host : hosts) {
        if (host.id != m_self && std::find(m_peers.begin(), m_peers.end(), host.id) == m_peers.end()) {
            further.push_back(host.id);
        }
    }
    m_further.setHosts(std::move(further));
    std::erase_if(m_health, [&](const auto &entry) {
        return !entry.first.isStore() && std::find(m_peers.begin(), m_peers.end(), entry.first.host) == m_peers.end();
    });
}

void SourceSelector::spreadFirstReads()
{
    m_spreadsFirstReads = true;
}

void SourceSelector::askFurtherHosts()
{
    m_asksFurther = true;
}

FeedRole SourceSelector::role() const
{
    return m_role;
}

std::size_t SourceSelector::peerCount() const
{
    return m_peers.size();
}

SourceChoice SourceSelector::next(TimePoint now) const
{
    std::vector<SourceId> sources = preferences();
    // Calls to two readers that are gone take turns for longer than each of them is avoided, and would keep a follower from the store.
    if (m_role == FeedRole::Follower && m_storeDue && allPeersFailed()) {
        std::rotate(sources.begin(), std::prev(sources.end()), sources.end());
    }
    SourceChoice earliest;
    earliest.at = TimePoint::max();
    for (const SourceId &source : sources) {
        if (source.isStore() && m_role == FeedRole::Follower) {
            if (const std::optional<SourceChoice> starting = startingPeer(now)) {
                return *starting;
            }
        }
        const auto health = m_health.find(source);
        if (health == m_health.end()) {
            return {source, now, source == preferences().front()};
        }
        if (health->second.avoidUntil <= now) {
            return {source, now, false};
        }
        if (health->second.avoidUntil < earliest.at) {
            earliest = {source, health->second.avoidUntil, false};
        }
    }
    return furtherHost(now, earliest).value_or(earliest);
}

bool SourceSelector::answered(const SourceId &source, Duration age, TimePoint now)
{
    if (!source.isStore() && age > m_maxAge) {
        failed(source, now);
        return false;
    }
    m_spreadsFirstReads = false;
    m_storeDue = m_storeDue && !source.isStore();
    if (isFurther(source)) {
        m_further.answered();
        return true;
    }
    m_health.erase(source);
    return true;
}

void SourceSelector::starting(const SourceId &source, TimePoint now)
{
    if (isFurther(source)) {
        m_further.failed(now);
        return;
    }
    Health &health = m_health[source];
    health.startingSince = health.startingSince.value_or(now);
    if (now >= *health.startingSince + startingPatience) {
        failed(source, now);
        return;
    }
    health.avoidUntil = now + startingRetryInterval;
}

void SourceSelector::failed(const SourceId &source, TimePoint now)
{
    if (isFurther(source)) {
        m_further.failed(now);
        return;
    }
    m_storeDue = !source.isStore();
    Health &health = m_health[source];
    health.avoidUntil = now + backoff(source, health.failures);
    ++health.failures;
    spreadStoreRead(now);
}

void SourceSelector::spreadStoreRead(TimePoint now)
{
    if (!m_spreadsFirstReads || m_role != FeedRole::Follower || !allPeersFailed() || m_health.contains(SourceId())) {
        return;
    }
    const std::int64_t longest = Duration(storeReadSpread).count();
    m_health[SourceId()].avoidUntil = now + Duration(std::uniform_int_distribution<std::int64_t>(0, longest)(m_random));
}

bool SourceSelector::allPeersFailed() const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [this](const HostId &peer) {
        const auto health = m_health.find(SourceId{peer});
        return health != m_health.end() && health->second.failures > 0;
    });
}

std::vector<SourceId> SourceSelector::preferences() const
{
    std::vector<SourceId> sources;
    for (const HostId &peer : m_peers) {
        sources.push_back({peer});
    }
    sources.insert(m_role == FeedRole::Follower ? sources.end() : sources.begin(), SourceId());
    return sources;
}

std::optional<SourceChoice> SourceSelector::startingPeer(TimePoint now) const
{
    std::optional<SourceChoice> earliest;
    for (const auto &[source, health] : m_health) {
        const bool starting = !source.isStore() && health.startingSince && health.failures == 0;
        if (starting && (!earliest || health.avoidUntil < earliest->at)) {
            earliest = SourceChoice{source, std::max(now, health.avoidUntil), false};
        }
    }
    return earliest;
}

std::optional<SourceChoice> SourceSelector::furtherHost(TimePoint now, const SourceChoice &other) const
{
    const std::vector<SourceId> sources = preferences();
    const bool allFailed = std::all_of(sources.begin(), sources.end(), [this](const SourceId &source) {
        const auto health = m_health.find(source);
        return health != m_health.end() && health->second.failures > 0;
    });
    const std::optional<FurtherHosts::Choice> further = m_further.next();
    if (!m_asksFurther || !allFailed || !further) {
        return std::nullopt;
    }
    const TimePoint at = std::max(now, further->at);
    return at < other.at ? std::optional<SourceChoice>({SourceId{further->host}, at, false}) : std::nullopt;
}

bool SourceSelector::isFurther(const SourceId &source) const
{
    return !source.isStore() && m_further.contains(source.host);
}

Duration SourceSelector::backoff(const SourceId &source, unsigned failures)
{
    const unsigned factor = 1U << std::min(failures, maxDoublings);
    const std::chrono::milliseconds basePeer = m_spreadsFirstReads ? basePeerBackoffAtStart : basePeerBackoff;
    Duration longest = std::min<Duration>(maxPeerBackoff, basePeer * factor);
    if (source.isStore() && m_peers.empty()) {
        longest = std::min<Duration>(maxStoreBackoff, baseStoreBackoff * factor);
    } else if (source.isStore()) {
        longest = std::min<Duration>(m_role == FeedRole::Follower ? maxFollowerStoreBackoff : maxStoreBackoffBesidePeers, baseStoreBackoffBesidePeers * factor);
    }
    const double spread = std::uniform_real_distribution<double>(minSpread, 1)(m_random);
    return std::chrono::duration_cast<Duration>(longest * spread);
}

}
