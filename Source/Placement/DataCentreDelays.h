#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>

namespace Mangofall::Placement {

/// For each data centre, the time from it to others, in one direction. A pair that is missing has the delay of the opposite direction.
using DataCentreDelays = std::map<DataCentreId, std::map<DataCentreId, Duration>>;

/// The delay from \p from to \p to; 0 within a data centre and for pairs that are not known.
Duration delayBetween(const DataCentreDelays &delays, const DataCentreId &from, const DataCentreId &to);

}
