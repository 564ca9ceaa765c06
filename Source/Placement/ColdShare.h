#pragma once

#include "Base/Time.h"

namespace Mangofall::Placement {

/// The part of the rate of cold upstreams that this host may use.
struct ColdShare {
    double fraction = 1;
    TimePoint until = TimePoint::max(); ///< From here on nothing may be used.

    double at(TimePoint now) const
    {
        return now < until ? fraction : 0;
    }
};

}
