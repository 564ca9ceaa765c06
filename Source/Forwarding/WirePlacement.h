#pragma once

#include "Peer/PeerMessages_generated.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementRequest.h"
#include "Placement/PlacementTable.h"
#include "Placement/SuspectState.h"
#include "Placement/UpstreamNotice.h"

namespace Mangofall::Forwarding {

// Times in messages are relative, because hosts share no clock.
Wire::PlacementCallT toWire(const Placement::PlacementRequest &placementRequest, TimePoint now);
Placement::PlacementRequest fromWire(const Wire::PlacementCallT &call, const HostId &host, TimePoint now);

Wire::PlacementAnswerT toWire(const Placement::Grant &grant);
Wire::PlacementAnswerT toWire(const Placement::Refusal &refusal);
Wire::PlacementAnswerT queuedAnswer(const Placement::PlacementRequestId &id);

/// Decodes the assignment of an answer whose result is Granted.
Placement::Assignment assignmentFromWire(const Wire::PlacementAnswerT &answer);
/// Decodes the refusal of an answer whose result is Refused.
Placement::Refusal refusalFromWire(const Wire::PlacementAnswerT &answer, const Placement::PlacementRequestId &id);

Wire::UpstreamNoticeT toWire(const Placement::Assignment &assignment, const Placement::UpstreamNotice &notice);
Placement::UpstreamNotice fromWire(const Wire::UpstreamNoticeT &notice);

Wire::CrashSuspectT toWire(const Placement::SuspectState &state);
Placement::SuspectState fromWire(const Wire::CrashSuspectT &suspect);

/// The outcome that a peer reports; a value that this version does not know says nothing about the upstream.
Placement::GrantOutcome outcomeFromWire(std::uint8_t value);

Wire::PlacementAdoptionT toWire(const Placement::ReportedGrant &grant, TimePoint now);
Placement::ReportedGrant fromWire(const Wire::PlacementAdoptionT &adoption, const HostId &host, TimePoint now);

}
