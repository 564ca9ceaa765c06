#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Mangofall::Membership {

/// The process received SIGTERM.
struct StopRequested {
};

/// This host admitted a request, as its entry host or as the dispatcher of its upstream. The event may arrive after StopRequested.
struct RequestAdmitted {
    RequestId request;
    TimePoint deadline;
};

/// The last byte of the request's answer or of its refusal was written.
struct RequestFinished {
    RequestId request;
};

/// Every new dispatcher confirmed the hand-over.
struct HandOverConfirmed {
};

/// Periodic tick that lets time limits take effect.
struct StopTick {
};

using StopEvent = std::variant<StopRequested, RequestAdmitted, RequestFinished, HandOverConfirmed, StopTick>;

/// Set the leaving flag and immediately send a heartbeat to every peer.
struct AnnounceLeaving {
};

/// Answer /readyz with 503 and refuse new requests as HostLeaving.
struct FailReadiness {
};

/// Send the in-flight list of each dispatcher to the upstream's next owner.
struct HandOverDispatchers {
};

/// End the process; requests that are still unfinished are past their deadline.
struct ExitProcess {
    std::size_t overdue = 0; ///< Number of unfinished requests.
};

using StopAction = std::variant<AnnounceLeaving, FailReadiness, HandOverDispatchers, ExitProcess>;

/**
 * \class GracefulStopSettings
 * \brief Time limits of a planned stop.
 */
struct GracefulStopSettings {
    /// Longest wait for the confirmation of the hand-over. A new dispatcher that does not confirm starts at its cold cap anyway.
    std::chrono::milliseconds handOverTimeout{5000};
    std::chrono::milliseconds answerMargin{1000}; ///< Time after a request's deadline to write the answer that reports the missed deadline.
};

/**
 * \class GracefulStop
 * \brief Decides when a stopping host may exit without interrupting a request.
 */
class GracefulStop
{
public:
    using Actions = std::vector<StopAction>;

    explicit GracefulStop(GracefulStopSettings settings);

    Actions handle(const StopEvent &event, TimePoint now);

    /// Upper bound on the time of the exit, derived from the latest deadline among the admitted requests; empty unless the host is stopping.
    std::optional<TimePoint> latestExit() const;

private:
    Actions start(TimePoint now);
    Actions exitIfDone(TimePoint now);

    GracefulStopSettings m_settings;
    std::map<RequestId, TimePoint> m_deadlines;
    std::optional<TimePoint> m_stoppedAt;
    bool m_handOverComplete = false;
    bool m_exited = false;
};

}
