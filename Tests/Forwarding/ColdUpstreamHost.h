#pragma once

#include "Forwarding/FleetPlacement.h"
#include "Telemetry/EventLog.h"
#include "Telemetry/LineSink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "Property.h"

#include <chrono>
#include <vector>

namespace Mangofall::Testing {

using Forwarding::FleetHost;
using Forwarding::FleetPlacement;
using Forwarding::MembershipOptions;
using Forwarding::PlacementGateway;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr double coldRate = 20;
const ServiceId service("s");

class DiscardingSink final : public LineSink
{
public:
    bool write(std::string_view) override
    {
        return true;
    }
};

inline Placement::PlacementRequest makeRequest(FleetPlacement &placement)
{
    Placement::PlacementRequest request;
    request.id = placement.nextId();
    request.service = service;
    request.target = milliseconds(300);
    request.arrivedAt = Clock::now();
    request.deadline = request.arrivedAt + milliseconds(4000);
    return request;
}

// A host that keeps several requests waiting; it stands still while its io_context is not polled.
struct Host {
    boost::asio::io_context io{1};
    DiscardingSink sink;
    EventLog log{"h", 0, sink};
    FleetPlacement placement;
    std::vector<TimePoint> &grants;

    Host(const FleetHost &host, std::vector<TimePoint> &allGrants)
        : placement(io, host.id, DataCentreId("dc"), log, MembershipOptions())
        , grants(allGrants)
    {
        CHECK_FALSE(placement.listen(host.address));
        placement.setServices({{service, coldRate, std::nullopt}});
    }

    void submit()
    {
        const Placement::PlacementRequest request = makeRequest(placement);
        placement.submit(request, [this, id = request.id](const PlacementGateway::Answer &answer) {
            if (std::holds_alternative<Placement::Assignment>(answer)) {
                grants.push_back(Clock::now());
            }
            boost::asio::post(io, [this, id]() {
                placement.ended(id, Placement::GrantOutcome::Completed, std::nullopt);
                submit();
            });
        });
    }
};

inline Placement::UpstreamEntry coldUpstream()
{
    Placement::UpstreamEntry cold;
    cold.id = UpstreamId("u");
    cold.service = service;
    cold.address = {"127.0.0.1", 1};
    cold.slots = 1000;
    cold.coldUntil = Clock::now() + std::chrono::hours(1);
    return cold;
}

}
