#include "Daemon/SharedQuarantine.h"

namespace Mangofall {

SharedQuarantine::SharedQuarantine(const HostId &self)
    : m_quarantine(self, QuarantineLimits{})
{
}

void SharedQuarantine::setHandler(ActionHandler handler)
{
    const std::lock_guard lock(m_mutex);
    m_handler = std::move(handler);
}

void SharedQuarantine::handle(const QuarantineEvent &event, TimePoint now)
{
    std::vector<QuarantineAction> actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_quarantine.handle(event, now);
    }
    if (!actions.empty() && m_handler) {
        m_handler(std::move(actions));
    }
}

RunDecision SharedQuarantine::decide(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.decide(fingerprint, now);
}

}
