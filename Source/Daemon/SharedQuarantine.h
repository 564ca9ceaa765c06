#pragma once

#include "Streams/CrashQuarantine.h"

#include <functional>
#include <mutex>
#include <vector>

namespace Mangofall {

/**
 * \class SharedQuarantine
 * \brief The host's crash quarantine, used by all dispatchers and the control thread.
 *
 * A lock is taken once per run of a model request, never per token.
 */
class SharedQuarantine
{
public:
    /// Receives actions on whichever thread fed the event; it must only post them.
    using ActionHandler = std::function<void(std::vector<QuarantineAction>)>;

    explicit SharedQuarantine(const HostId &self);

    void setHandler(ActionHandler handler);
    void handle(const QuarantineEvent &event, TimePoint now);
    RunDecision decide(const RequestFingerprint &fingerprint, TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    CrashQuarantine m_quarantine;
    ActionHandler m_handler;
};

}
