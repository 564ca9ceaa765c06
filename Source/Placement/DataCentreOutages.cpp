#include "Placement/DataCentreOutages.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// Fewer upstreams than this may well fail at the same time by chance.
constexpr std::ptrdiff_t minSilentUpstreams = 3;
// Requests to a lost data centre are noticed as failed over a period of up to about 1.5 seconds.
constexpr std::chrono::milliseconds memory{2000};

}

void DataCentreOutages::recordSilence(const DataCentreId &dataCentre, const UpstreamId &upstream, TimePoint now)
{
    std::map<UpstreamId, TimePoint> &silences = m_silences[dataCentre];
    std::erase_if(silences, [&](const auto &silence) {
        return now >= silence.second + memory;
    });
    silences[upstream] = now;
}

void DataCentreOutages::recordAnswer(const DataCentreId &dataCentre)
{
    m_silences.erase(dataCentre);
}

bool DataCentreOutages::empty() const
{
    return m_silences.empty();
}

bool DataCentreOutages::suspected(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto known = m_silences.find(dataCentre);
    if (known == m_silences.end()) {
        return false;
    }
    const auto recent = std::count_if(known->second.begin(), known->second.end(), [&](const auto &silence) {
        return now < silence.second + memory;
    });
    return recent >= minSilentUpstreams;
}

}
