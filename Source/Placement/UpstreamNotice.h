#pragma once

#include "Base/Time.h"

namespace Mangofall::Placement {

/**
 * \class UpstreamNotice
 * \brief What an upstream says about itself in an answer.
 */
struct UpstreamNotice {
    bool leaving = false; ///< It is about to stop, and further requests should go elsewhere.
    Duration pause{}; ///< It wants no request from the host that it answers for this long; zero if it does not say so.

    bool empty() const
    {
        return !leaving && pause <= Duration::zero();
    }
};

}
