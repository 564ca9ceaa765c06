#pragma once

#include "Placement/SuspectState.h"

namespace Mangofall::Forwarding {

/**
 * \class SuspectObserver
 * \brief Is told what this host learns by itself about requests that may crash upstreams.
 */
class SuspectObserver
{
public:
    SuspectObserver() = default;
    SuspectObserver(const SuspectObserver &) = delete;
    SuspectObserver &operator=(const SuspectObserver &) = delete;
    virtual ~SuspectObserver() = default;

    /// \p state includes what other hosts have told.
    virtual void suspectChanged(const Placement::SuspectState &state) = 0;
};

}
