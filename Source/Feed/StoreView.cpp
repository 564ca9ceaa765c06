#include "Feed/StoreView.h"

#include <algorithm>

namespace Mangofall::Feed {

namespace {

// A page of this size takes 50 ms on a link of 20 Mbit/s, so that short messages do not wait long behind it.
constexpr std::size_t maxPageBytes = 128UL * 1024;
// Bounds the memory that removed keys take.
constexpr std::size_t maxRemovals = 4096;

}

bool StoreView::apply(const StoreItem &item)
{
    const auto known = m_items.find(item.key);
    // A key that is not known although all changes up to m_revision are was removed by then.
    const std::uint64_t knownRevision = known == m_items.end() ? m_revision : known->second.revision;
    if (item.revision <= knownRevision) {
        return false;
    }
    const bool wasPresent = known != m_items.end() && !known->second.removed;
    recordChange(item);
    m_present += item.removed ? 0 : 1;
    m_present -= wasPresent ? 1 : 0;
    forgetOldRemovals();
    return wasPresent || !item.removed;
}

void StoreView::setRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

std::vector<StoreItem> StoreView::removeMissing(const std::set<std::string> &present, std::uint64_t revision)
{
    std::vector<StoreItem> missing;
    for (const auto &[key, item] : m_items) {
        if (!item.removed && !present.contains(key) && item.revision <= revision) {
            missing.push_back({key, {}, std::max(revision, item.revision + 1), true});
        }
    }
    for (const StoreItem &item : missing) {
        apply(item);
    }
    m_firstKnownRevision = std::max(m_firstKnownRevision, revision);
    return missing;
}

std::uint64_t StoreView::revision() const
{
    return m_revision;
}

bool StoreView::consistent() const
{
    return m_revision > 0 && (m_keysByRevision.empty() || m_keysByRevision.rbegin()->first <= m_revision);
}

const std::map<std::string, StoreItem> &StoreView::items() const
{
    return m_items;
}

std::size_t StoreView::size() const
{
    return m_present;
}

ItemPage StoreView::pageAfter(const std::string &after) const
{
    ItemPage page;
    page.status = SourceStatus::Ok;
    page.revision = m_revision;
    std::size_t bytes = 0;
    for (auto position = m_items.upper_bound(after); position != m_items.end(); ++position) {
        if (position->second.removed) {
            continue;
        }
        if (bytes >= maxPageBytes) {
            page.more = true;
            break;
        }
        bytes += position->first.size() + position->second.value.size();
        page.items.push_back(position->second);
    }
    return page;
}

ItemPage StoreView::changesAfter(std::uint64_t revision) const
{
    ItemPage page;
    page.revision = m_revision;
    if (revision < m_firstKnownRevision) {
        page.status = SourceStatus::HistoryGone;
        return page;
    }
    page.status = SourceStatus::Ok;
    for (auto position = m_keysByRevision.upper_bound(revision); position != m_keysByRevision.end(); ++position) {
        for (const std::string &key : position->second) {
            page.items.push_back(m_items.at(key));
        }
    }
    return page;
}

void StoreView::recordChange(const StoreItem &item)
{
    StoreItem &known = m_items[item.key];
    if (const auto former = m_keysByRevision.find(known.revision); former != m_keysByRevision.end()) {
        former->second.erase(item.key);
        if (former->second.empty()) {
            m_keysByRevision.erase(former);
        }
    }
    known = item;
    m_keysByRevision[item.revision].insert(item.key);
    if (item.removed) {
        m_removals.emplace_back(item.revision, item.key);
    }
}

void StoreView::forgetOldRemovals()
{
    while (m_removals.size() > maxRemovals) {
        const auto [revision, key] = m_removals.front();
        m_removals.pop_front();
        m_firstKnownRevision = std::max(m_firstKnownRevision, revision);
        const auto known = m_items.find(key);
        if (known == m_items.end() || !known->second.removed || known->second.revision != revision) {
            continue;
        }
        m_items.erase(known);
        m_keysByRevision[revision].erase(key);
        if (m_keysByRevision[revision].empty()) {
            m_keysByRevision.erase(revision);
        }
    }
}

}
