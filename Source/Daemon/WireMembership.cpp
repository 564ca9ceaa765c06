#include "Daemon/WireMembership.h"

#include "Peer/PeerMessages_generated.h"

namespace Mangofall {

namespace {

using Membership::HostState;
using Membership::HostStatus;

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

std::string toText(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

std::unique_ptr<Wire::HostClaimT> toWireClaim(const HostStatus &status)
{
    auto claim = std::make_unique<Wire::HostClaimT>();
    claim->host = status.host.value();
    claim->incarnation = status.incarnation;
    claim->sequence = status.sequence;
    claim->state = static_cast<std::uint8_t>(status.state);
    claim->data_centre = status.dataCentre.value();
    claim->region = status.region.value();
    claim->address = status.address;
    claim->port = status.port;
    claim->revision = status.revision;
    return claim;
}

HostStatus fromWireClaim(const Wire::HostClaimT &claim)
{
    HostStatus status;
    status.host = HostId(claim.host);
    status.incarnation = claim.incarnation;
    status.sequence = claim.sequence;
    if (claim.state <= static_cast<std::uint8_t>(HostState::Dead)) {
        status.state = static_cast<HostState>(claim.state);
    }
    status.dataCentre = DataCentreId(claim.data_centre);
    status.region = RegionId(claim.region);
    status.address = claim.address;
    status.port = claim.port;
    status.revision = claim.revision;
    return status;
}

}

Wire::HeartbeatT toWire(const Membership::Heartbeat &heartbeat)
{
    Wire::HeartbeatT wire;
    wire.host = heartbeat.host.value();
    wire.incarnation = heartbeat.incarnation;
    wire.sequence = heartbeat.sequence;
    wire.data_centre = heartbeat.dataCentre.value();
    wire.region = heartbeat.region.value();
    wire.address = heartbeat.address;
    wire.port = heartbeat.port;
    wire.revision = heartbeat.revision;
    wire.leaving = heartbeat.leaving;
    wire.load = toBytes(heartbeat.loadSummary);
    for (const Membership::DataCentreDigest &digest : heartbeat.digests) {
        wire.digests.push_back(toWire(digest));
    }
    return wire;
}

Membership::Heartbeat fromWire(const Wire::HeartbeatT &wire)
{
    Membership::Heartbeat heartbeat;
    heartbeat.host = HostId(wire.host);
    heartbeat.incarnation = wire.incarnation;
    heartbeat.sequence = wire.sequence;
    heartbeat.dataCentre = DataCentreId(wire.data_centre);
    heartbeat.region = RegionId(wire.region);
    heartbeat.address = wire.address;
    heartbeat.port = wire.port;
    heartbeat.revision = wire.revision;
    heartbeat.leaving = wire.leaving;
    heartbeat.loadSummary = toText(wire.load);
    for (const auto &digest : wire.digests) {
        heartbeat.digests.push_back(fromWire(*digest));
    }
    return heartbeat;
}

std::unique_ptr<Wire::DigestT> toWire(const Membership::DataCentreDigest &digest)
{
    auto wire = std::make_unique<Wire::DigestT>();
    wire->data_centre = digest.dataCentre.value();
    wire->region = digest.region.value();
    wire->sender = digest.sender.value();
    wire->sender_incarnation = digest.senderIncarnation;
    wire->sequence = digest.sequence;
    for (const HostStatus &host : digest.hosts) {
        wire->hosts.push_back(toWireClaim(host));
    }
    wire->load = toBytes(digest.loadSummary);
    return wire;
}

Membership::DataCentreDigest fromWire(const Wire::DigestT &wire)
{
    Membership::DataCentreDigest digest;
    digest.dataCentre = DataCentreId(wire.data_centre);
    digest.region = RegionId(wire.region);
    digest.sender = HostId(wire.sender);
    digest.senderIncarnation = wire.sender_incarnation;
    digest.sequence = wire.sequence;
    for (const auto &host : wire.hosts) {
        digest.hosts.push_back(fromWireClaim(*host));
    }
    digest.loadSummary = toText(wire.load);
    return digest;
}

}
