#pragma once

#include "Peer/PeerMessages_generated.h"
#include "Placement/Demand.h"
#include "Placement/PlacementActions.h"
#include "Placement/PlacementTable.h"

namespace Mangofall::Forwarding {

/// Times on the wire are relative, because hosts share no clock.
Wire::PlacementCallT toWire(const Placement::Demand &demand, TimePoint now);
Placement::Demand fromWire(const Wire::PlacementCallT &call, const HostId &host, TimePoint now);

Wire::PlacementAnswerT toWire(const Placement::Grant &grant);
Wire::PlacementAnswerT toWire(const Placement::Refusal &refusal);
Wire::PlacementAnswerT queuedAnswer(const Placement::DemandId &id);

/// The place of an answer whose result is Granted.
Placement::Assignment placeFromWire(const Wire::PlacementAnswerT &answer);
/// The refusal of an answer whose result is Refused.
Placement::Refusal refusalFromWire(const Wire::PlacementAnswerT &answer, const Placement::DemandId &id);

Wire::PlacementAdoptionT toWire(const Placement::ReportedGrant &grant, TimePoint now);
Placement::ReportedGrant fromWire(const Wire::PlacementAdoptionT &adoption, const HostId &host, TimePoint now);

}
