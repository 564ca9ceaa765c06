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
 * \brief What a dispatcher's runtime needs from the host around it.
 */
class DispatcherEnvironment
{
public:
    virtual ~DispatcherEnvironment() = default;
    virtual void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) = 0;
    virtual void sendHandOver(const HandOverMessage &message) = 0;
    virtual void capExceeded(std::uint32_t requests) = 0;
    virtual SharedQuarantine &quarantine() = 0;
    virtual void recordSpan(Span &&span) = 0;
};

}
