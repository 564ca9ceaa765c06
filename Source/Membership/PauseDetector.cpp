#include "Membership/PauseDetector.h"

namespace Mangofall::Membership {

PauseDetector::PauseDetector(Duration limit)
    : m_limit(limit)
{
}

PauseDetector::Actions PauseDetector::handle(const PauseEvent &event, TimePoint now)
{
    // A late event of either kind reveals the pause. A renewal that was queued before the pause is out of date.
    const Duration gap = m_lastTick ? now - *m_lastTick : Duration::zero();
    m_lastTick = now;
    if (gap > m_limit) {
        m_renewing = true;
        return {StopDispatch{gap}, RenewView{}};
    }
    if (m_renewing && std::holds_alternative<MembershipRenewed>(event)) {
        m_renewing = false;
        return {ResumeDispatch{}};
    }
    return {};
}

bool PauseDetector::mayDispatch(TimePoint now) const
{
    return !m_renewing && m_lastTick && now - *m_lastTick <= m_limit;
}

}
