#include "Membership/OwnershipTable.h"

#include "Base/Hash.h"

namespace Mangofall::Membership {

namespace {

using Candidates = std::vector<Owner>;

bool canOwn(const HostStatus &host)
{
    return host.state == HostState::Alive || host.state == HostState::Suspect;
}

std::optional<Owner> highestScoring(const std::string &key, const Candidates &candidates)
{
    const Owner *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Owner &candidate : candidates) {
        const std::uint64_t score = rendezvousScore(key, candidate.host.value());
        if (best == nullptr || score > bestScore || (score == bestScore && candidate.host < best->host)) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

template<class Map>
void collectMoves(const Map &before, const Map &now, OwnershipTable::Actions &moves)
{
    for (const auto &[key, owner] : before) {
        const auto found = now.find(key);
        if (found == now.end()) {
            moves.push_back({.key = key, .before = owner, .now = std::nullopt});
        } else if (found->second != owner) {
            moves.push_back({.key = key, .before = owner, .now = found->second});
        }
    }
    for (const auto &[key, owner] : now) {
        if (!before.contains(key)) {
            moves.push_back({.key = key, .before = std::nullopt, .now = owner});
        }
    }
}

}

OwnershipTable::OwnershipTable()
    : m_snapshot(std::make_shared<const OwnershipSnapshot>())
{
}

OwnershipTable::Actions OwnershipTable::handle(const OwnershipEvent &event)
{
    if (const auto *hosts = std::get_if<HostsChanged>(&event)) {
        m_hosts = hosts->hosts;
    } else {
        m_keys = std::get<KeysChanged>(event);
    }
    return recompute();
}

std::shared_ptr<const OwnershipSnapshot> OwnershipTable::snapshot() const
{
    return m_snapshot;
}

OwnershipTable::Actions OwnershipTable::recompute()
{
    std::map<DataCentreId, Candidates> byDataCentre;
    std::map<RegionId, Candidates> byRegion;
    for (const HostStatus &host : m_hosts) {
        if (canOwn(host)) {
            byDataCentre[host.dataCentre].push_back({host.host, host.incarnation});
            byRegion[host.region].push_back({host.host, host.incarnation});
        }
    }
    std::unordered_map<UpstreamId, Owner> dispatchers;
    for (const auto &[upstream, dataCentre] : m_keys.upstreams) {
        if (const auto owner = highestScoring("upstream/" + upstream.value(), byDataCentre[dataCentre])) {
            dispatchers.emplace(upstream, *owner);
        }
    }
    std::map<LedgerShard, Owner> shards;
    for (const auto &[region, count] : m_keys.shards) {
        for (std::uint32_t index = 0; index < count; ++index) {
            if (const auto owner = highestScoring("ledger/" + region.value() + '/' + std::to_string(index), byRegion[region])) {
                shards.emplace(LedgerShard{region, index}, *owner);
            }
        }
    }
    Actions moves;
    collectMoves(m_snapshot->dispatchers(), dispatchers, moves);
    collectMoves(m_snapshot->shards(), shards, moves);
    if (!moves.empty()) {
        m_snapshot = std::make_shared<const OwnershipSnapshot>(m_snapshot->version() + 1, std::move(dispatchers), std::move(shards));
    }
    return moves;
}

}
