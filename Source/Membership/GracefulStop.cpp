#include "Membership/GracefulStop.h"

#include <algorithm>

namespace Mangofall::Membership {

GracefulStop::GracefulStop(GracefulStopSettings settings)
    : m_settings(settings)
{
}

GracefulStop::Actions GracefulStop::handle(const StopEvent &event, TimePoint now)
{
    if (std::holds_alternative<StopRequested>(event)) {
        // A repeated signal must not shorten the stop.
        return m_stoppedAt ? Actions() : start(now);
    }
    if (const auto *admitted = std::get_if<RequestAdmitted>(&event)) {
        m_deadlines[admitted->request] = admitted->deadline;
    } else if (const auto *finished = std::get_if<RequestFinished>(&event)) {
        m_deadlines.erase(finished->request);
    } else if (std::holds_alternative<HandOverConfirmed>(event)) {
        m_handOverComplete = m_stoppedAt.has_value();
    }
    return exitIfDone(now);
}

std::optional<TimePoint> GracefulStop::latestExit() const
{
    if (!m_stoppedAt) {
        return std::nullopt;
    }
    TimePoint latest = m_handOverComplete ? *m_stoppedAt : *m_stoppedAt + m_settings.handOverTimeout;
    for (const auto &[request, deadline] : m_deadlines) {
        latest = std::max(latest, deadline + m_settings.answerMargin);
    }
    return latest;
}

GracefulStop::Actions GracefulStop::start(TimePoint now)
{
    m_stoppedAt = now;
    // Without admitted requests the in-flight lists are empty, so their loss does no harm and no confirmation is awaited.
    m_handOverComplete = m_deadlines.empty();
    Actions actions{AnnounceLeaving(), FailReadiness(), HandOverDispatchers()};
    const Actions last = exitIfDone(now);
    actions.insert(actions.end(), last.begin(), last.end());
    return actions;
}

GracefulStop::Actions GracefulStop::exitIfDone(TimePoint now)
{
    if (!m_stoppedAt || m_exited) {
        return {};
    }
    const bool handOverDone = m_handOverComplete || now >= *m_stoppedAt + m_settings.handOverTimeout;
    const bool allOverdue = std::all_of(m_deadlines.begin(), m_deadlines.end(), [&](const auto &entry) {
        return now >= entry.second + m_settings.answerMargin;
    });
    if (!handOverDone || !allOverdue) {
        return {};
    }
    m_exited = true;
    return {ExitProcess{m_deadlines.size()}};
}

}
