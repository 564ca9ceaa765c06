#pragma once

#include "Forwarding/StoreViewStatus.h"
#include "Peer/PeerMessages_generated.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementRequest.h"
#include "Placement/PlacementTable.h"
#include "Placement/SuspectState.h"
#include "Placement/UpstreamNotice.h"

#include <optional>
#include <vector>

namespace Mangofall::Forwarding {

// Times in messages are relative, because hosts share no clock.
Wire::PlacementCallT toWire(const Placement::PlacementRequest &placementRequest, TimePoint now);
Placement::PlacementRequest fromWire(const Wire::PlacementCallT &call, const HostId &host, TimePoint now);

/// Says in \p call how recent the caller's view of the store is.
void setView(Wire::PlacementCallT &call, const StoreViewStatus &view);
/// The view of the caller; empty if it does not say. Such a caller does not know the answer Declined.
std::optional<StoreViewStatus> viewFromWire(const Wire::PlacementCallT &call);

Wire::PlacementAnswerT toWire(const Placement::Grant &grant);
Wire::PlacementAnswerT toWire(const Placement::Refusal &refusal);
Wire::PlacementAnswerT queuedAnswer(const Placement::PlacementRequestId &id);
/// The answer of a host that is not to be asked as owner for \p time.
Wire::PlacementAnswerT declinedAnswer(const Placement::PlacementRequestId &id, Duration time);

/// The report that the first event of an answer arrived.
Wire::PlacementReportT beginReport(const Placement::PlacementRequestId &id);
/// The report that the host has the grant.
Wire::PlacementReportT receivedReport(const Placement::PlacementRequestId &id);
/// The report that the use of a grant ended; \p faulty is the helper that caused the failure, unset if it was the upstream itself.
Wire::PlacementReportT endReport(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty);

/// Decodes the assignment of an answer whose result is Granted.
Placement::Assignment assignmentFromWire(const Wire::PlacementAnswerT &answer);
/// Decodes the refusal of an answer whose result is Refused.
Placement::Refusal refusalFromWire(const Wire::PlacementAnswerT &answer, const Placement::PlacementRequestId &id);

Wire::UpstreamNoticeT toWire(const Placement::Assignment &assignment, const Placement::UpstreamNotice &notice);
Placement::UpstreamNotice fromWire(const Wire::UpstreamNoticeT &notice);

Wire::CrashSuspectT toWire(const Placement::SuspectState &state);
Placement::SuspectState fromWire(const Wire::CrashSuspectT &suspect);
/// The states as one message, in which suspects of which the same is known share an entry.
Wire::CrashUpdateT toWire(const std::vector<Placement::SuspectState> &states);
std::vector<Placement::SuspectState> fromWire(const Wire::CrashUpdateT &update);

/// The outcome that a peer reports; a value that this version does not know says nothing about the upstream.
Placement::GrantOutcome outcomeFromWire(std::uint8_t value);

Wire::PlacementAdoptionT toWire(const Placement::ReportedGrant &grant, TimePoint now);
Placement::ReportedGrant fromWire(const Wire::PlacementAdoptionT &adoption, const HostId &host, TimePoint now);

}
