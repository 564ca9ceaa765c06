#pragma once

#include "Streams/CrashQuarantine.h"

#include <functional>
#include <mutex>
#include <vector>

namespace Mangofall {

/**
 * \class SharedQuarantine
 * \brief Thread-safe crash quarantine of this host, shared by all dispatchers and the control thread.
 *
 * The lock is taken per run of a model request, never per token.
 */
class SharedQuarantine
{
public:
    /// Called with the resulting actions on the thread that called handle(); it must only post them to another thread.
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
