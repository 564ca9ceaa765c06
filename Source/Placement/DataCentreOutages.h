#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>

namespace Mangofall::Placement {

/**
 * \class DataCentreOutages
 * \brief Suspects data centres whose upstreams have fallen silent together, for example because they lost power or their network.
 *
 * The upstream list names the upstreams of a lost data centre until their heartbeats have been missing for some time. Without this record, requests try each
 * of them once. A data centre is suspected after several of its upstreams were silent in a short time while none of them answered, and until one answers or
 * no further one was found silent for a while.
 */
class DataCentreOutages
{
public:
    /// Records that nothing arrived from \p upstream, or that no connection to it could be made.
    void recordSilence(const DataCentreId &dataCentre, const UpstreamId &upstream, TimePoint now);
    /// Records that an upstream of \p dataCentre has answered.
    void recordAnswer(const DataCentreId &dataCentre);

    bool suspected(const DataCentreId &dataCentre, TimePoint now) const;
    /// Whether no upstream was found silent since the last answer of its data centre, so that no data centre is suspected.
    bool empty() const;

private:
    std::map<DataCentreId, std::map<UpstreamId, TimePoint>> m_silences; ///< When upstreams were last found silent, since the last answer of their data centre.
};

}
