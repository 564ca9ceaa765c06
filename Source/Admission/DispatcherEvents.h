#pragma once

#include "Admission/HandOverMessage.h"
#include "Admission/QueuedAttempt.h"

#include <cstdint>
#include <variant>

namespace Mangofall {

/// The events that UpstreamDispatcher handles.
namespace DispatcherEvent {

/// An entry host asks for an attempt to be sent. An attempt that is already known is ignored.
struct Enqueued {
    QueuedAttempt attempt;
};

/// The caller disconnected or the attempt was replaced by another one.
struct CancelRequested {
    AttemptId attempt;
};

/// The upstream accepted the attempt.
struct Started {
    AttemptId attempt;
};

/// The first token of the answer arrived.
struct FirstToken {
    AttemptId attempt;
};

/// The upstream completed the attempt, possibly after a cancel.
struct Finished {
    AttemptId attempt;
};

enum class Failure : std::uint8_t {
    RefusedBeforeWork, ///< The upstream answered that it did not run the attempt.
    ConnectionRefused, ///< No connection was established and no byte was sent.
    Interrupted, ///< The attempt may have run in part.
};

/// The attempt failed at the upstream.
struct Failed {
    AttemptId attempt;
    Failure failure = Failure::Interrupted;
};

/// The upstream reported its load.
struct LoadReported {
    std::uint64_t epoch = 0; ///< Above 0; a different value means that the upstream restarted.
    Duration uptime{0};
    std::uint32_t inFlightRequests = 0;
    std::uint64_t usedKvTokens = 0;
    Duration lag{0}; ///< Age of the reported values.
};

/// A probe of the upstream on a new connection failed.
struct Unresponsive {
};

/// A probe of the upstream on a new connection succeeded.
struct ProbeSucceeded {
};

/// An operator took the upstream out of service.
struct TakenOutOfService {
};

/// An operator returned the upstream to service.
struct ReturnedToService {
};

/// The upstream announced its shutdown.
struct UpstreamLeaving {
};

/// The ownership of the upstream passes from this host to another one.
struct OwnershipReleased {
};

/// This host became the upstream's owner. The assumed values are those of the former owner's last load summary.
struct TakeoverBegan {
    std::uint32_t assumedRequests = 0;
    std::uint64_t assumedPrefillTokens = 0;
};

/// The former owner's list of attempts in flight arrived.
struct HandOverReceived {
    HandOverMessage message;
};

/// The membership declared the former owner dead.
struct FormerOwnerDead {
};

/// Periodic event, every 50 to 100 ms, at which deadlines and priorities are evaluated.
struct Tick {
};

}

using DispatcherInput = std::variant<DispatcherEvent::Enqueued,
                                     DispatcherEvent::CancelRequested,
                                     DispatcherEvent::Started,
                                     DispatcherEvent::FirstToken,
                                     DispatcherEvent::Finished,
                                     DispatcherEvent::Failed,
                                     DispatcherEvent::LoadReported,
                                     DispatcherEvent::Unresponsive,
                                     DispatcherEvent::ProbeSucceeded,
                                     DispatcherEvent::TakenOutOfService,
                                     DispatcherEvent::ReturnedToService,
                                     DispatcherEvent::UpstreamLeaving,
                                     DispatcherEvent::OwnershipReleased,
                                     DispatcherEvent::TakeoverBegan,
                                     DispatcherEvent::HandOverReceived,
                                     DispatcherEvent::FormerOwnerDead,
                                     DispatcherEvent::Tick>;

}
