#pragma once

#include "Membership/DataCentreDigest.h"
#include "Membership/Heartbeat.h"

#include <memory>

namespace Mangofall::Wire {
struct DigestT;
struct HeartbeatT;
}

namespace Mangofall {

Wire::HeartbeatT toWire(const Membership::Heartbeat &heartbeat);
Membership::Heartbeat fromWire(const Wire::HeartbeatT &heartbeat);

std::unique_ptr<Wire::DigestT> toWire(const Membership::DataCentreDigest &digest);
Membership::DataCentreDigest fromWire(const Wire::DigestT &digest);

}
