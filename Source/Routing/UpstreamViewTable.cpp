#include "Routing/UpstreamViewTable.h"

#include <algorithm>

namespace Mangofall {

namespace {

auto position(std::vector<UpstreamView> &views, const UpstreamId &upstream)
{
    return std::lower_bound(views.begin(), views.end(), upstream, [](const UpstreamView &view, const UpstreamId &id) {
        return view.id.value() < id.value();
    });
}

}

void UpstreamViewTable::update(const UpstreamView &view)
{
    const auto place = position(m_views, view.id);
    if (place != m_views.end() && place->id == view.id) {
        const bool takesLong = place->takesLong;
        *place = view;
        place->takesLong = takesLong;
    } else {
        m_views.insert(place, view);
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
    const auto place = position(m_views, upstream);
    if (place != m_views.end() && place->id == upstream) {
        ++place->queuedRequests;
        place->queuedPrefillTokens[indexOf(lengthClass)] += uncachedTokens;
    }
}

std::span<UpstreamView> UpstreamViewTable::views()
{
    return m_views;
}

}
