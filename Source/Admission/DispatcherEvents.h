#pragma once

#include "Admission/HandOverMessage.h"
#include "Admission/QueuedAttempt.h"

#include <cstdint>
#include <variant>

namespace Mangofall {

/// Inputs of UpstreamDispatcher.
namespace DispatcherEvent {

/// An entry host asks to run an attempt; a known attempt id is ignored.
struct Enqueued {
    QueuedAttempt attempt;
};

/// The caller left or the attempt was replaced.
struct CancelRequested {
    AttemptId attempt;
};

/// The upstream accepted the attempt.
struct Started {
    AttemptId attempt;
};

struct FirstToken {
    AttemptId attempt;
};

/// The upstream completed the attempt, also after a cancel.
struct Finished {
    AttemptId attempt;
};

enum class Failure : std::uint8_t {
    RefusedBeforeWork, ///< The upstream answered that it did no work.
    ConnectionRefused, ///< No byte was written.
    Interrupted,
};

struct Failed {
    AttemptId attempt;
    Failure failure = Failure::Interrupted;
};

/// The upstream's own report.
struct LoadReported {
    std::uint64_t epoch = 0; ///< Above 0.
    Duration uptime{0};
    std::uint32_t inFlightRequests = 0;
    std::uint64_t usedKvTokens = 0;
    Duration lag{0}; ///< Age of the figures.
};

/// A probe on a new connection failed.
struct Unresponsive {
};

struct ProbeSucceeded {
};

struct TakenOutOfService {
};

struct ReturnedToService {
};

/// The upstream announced its shutdown.
struct UpstreamLeaving {
};

/// This host gives the upstream to another dispatcher.
struct OwnershipReleased {
};

/// This host now owns the upstream. What the former owner may still run comes from its last load summary.
struct TakeoverBegan {
    std::uint32_t assumedRequests = 0;
    std::uint64_t assumedPrefillTokens = 0;
};

struct HandOverReceived {
    HandOverMessage message;
};

struct FormerOwnerDead {
};

/// Periodic; deadlines and ageing are evaluated. Every 50 to 100 ms.
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
