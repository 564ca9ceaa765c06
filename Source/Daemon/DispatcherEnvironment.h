#pragma once

#include "Admission/HandOverMessage.h"
#include "Base/Ids.h"
#include "Routing/UpstreamState.h"

#include <string>

namespace Mangofall {

struct Span;
class SharedQuarantine;

/**
 * \class DispatcherEnvironment
 * \brief Services of the host that a dispatcher's runtime uses.
 */
class DispatcherEnvironment
{
public:
    virtual ~DispatcherEnvironment() = default;
    virtual void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) = 0;
    virtual void sendHandOver(const HandOverMessage &message) = 0;
    /// Reports that the upstream runs \p requests more requests than its dispatcher knows of.
    virtual void capExceeded(std::uint32_t requests) = 0;
    virtual SharedQuarantine &quarantine() = 0;
    virtual void recordSpan(Span &&span) = 0;
};

}
