#include "Routing/UpstreamViewTable.h"

#include <algorithm>

namespace Mangofall {

namespace {

auto findPosition(std::vector<UpstreamView> &views, const UpstreamId &upstream)
{
    return std::lower_bound(views.begin(), views.end(), upstream, [](const UpstreamView &view, const UpstreamId &id) {
        return view.id.value() < id.value();
    });
}

}

void UpstreamViewTable::update(const UpstreamView &view)
{
    const auto position = findPosition(m_views, view.id);
    if (position != m_views.end() && position->id == view.id) {
        const bool designatedForLong = position->designatedForLong;
        *position = view;
        position->designatedForLong = designatedForLong;
    } else {
        m_views.insert(position, view);
    }
}

void UpstreamViewTable::remove(const UpstreamId &upstream)
{
    std::erase_if(m_views, [&](const UpstreamView &view) {
        return view.id == upstream;
    });
}

void UpstreamViewTable::noteDispatch(const UpstreamId &upstream, LengthClass lengthClass, std::uint64_t uncachedTokens)
{
    const auto position = findPosition(m_views, upstream);
    if (position != m_views.end() && position->id == upstream) {
        ++position->queuedRequests;
        position->queuedPrefillTokens[indexOf(lengthClass)] += uncachedTokens;
    }
}

std::span<UpstreamView> UpstreamViewTable::views()
{
    return m_views;
}

}
