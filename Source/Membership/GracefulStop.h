#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Mangofall::Membership {

/// SIGTERM arrived.
struct StopRequested {
};

/// A request was admitted, as entry host or as dispatcher; it may have raced with the stop.
struct RequestAdmitted {
    RequestId request;
    TimePoint deadline;
};

/// The last byte of the request's answer, or its refusal, is written.
struct RequestFinished {
    RequestId request;
};

/// Every new dispatcher has confirmed the hand-over.
struct HandOverConfirmed {
};

struct StopTick {
};

using StopEvent = std::variant<StopRequested, RequestAdmitted, RequestFinished, HandOverConfirmed, StopTick>;

/// Set the leaving flag and send a heartbeat to every peer at once.
struct AnnounceLeaving {
};

/// Answer /readyz with 503 and refuse new requests as HostLeaving.
struct FailReadiness {
};

/// Send the in-flight list of each dispatcher to the upstream's next owner.
struct HandOverDispatchers {
};

/// End the process; requests that remain are past their deadline.
struct ExitProcess {
    std::size_t overdue = 0;
};

using StopAction = std::variant<AnnounceLeaving, FailReadiness, HandOverDispatchers, ExitProcess>;

/**
 * \class GracefulStopSettings
 * \brief Time limits of a planned stop.
 */
struct GracefulStopSettings {
    std::chrono::milliseconds handOverTimeout{5000}; ///< A new dispatcher that does not confirm starts at its cold cap anyway.
    std::chrono::milliseconds answerMargin{1000}; ///< After a deadline, to write the answer that says so.
};

/**
 * \class GracefulStop
 * \brief Decides when a host that is being stopped may exit without interrupting a request.
 */
class GracefulStop
{
public:
    using Actions = std::vector<StopAction>;

    explicit GracefulStop(GracefulStopSettings settings);

    Actions handle(const StopEvent &event, TimePoint now);

    /// Latest time of the exit, from the latest deadline among the admitted requests; empty unless stopping.
    std::optional<TimePoint> latestExit() const;

private:
    Actions start(TimePoint now);
    Actions exitIfDone(TimePoint now);

    GracefulStopSettings m_settings;
    std::map<RequestId, TimePoint> m_deadlines;
    std::optional<TimePoint> m_stoppedAt;
    bool m_handedOver = false;
    bool m_exited = false;
};

}
