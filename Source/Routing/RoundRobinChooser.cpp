#include "Routing/RoundRobinChooser.h"

namespace Mangofall {

std::optional<UpstreamId> RoundRobinChooser::choose(const RequestProfile &, std::span<const UpstreamView> views, RandomEngine &)
{
    for (std::size_t step = 0; step < views.size(); ++step) {
        const UpstreamView &view = views[m_next++ % views.size()];
        if (acceptsWork(view.state)) {
            return view.id;
        }
    }
    return std::nullopt;
}

}
