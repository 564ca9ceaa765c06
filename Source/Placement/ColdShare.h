#pragma once

#include "Base/Time.h"

#include <chrono>

namespace Mangofall::Placement {

/// A host hands a grant of a cold upstream back if it reads it later than this after the grant, because the owner counts the grant as used by then. This is
/// twice the time after which an owner without an answer is passed over, so that the way of a call and of its grant fits in.
constexpr std::chrono::milliseconds grantUseTime{300};

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
