#include "Forwarding/WirePlacement.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::uint32_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(count, 0));
}

ErrorKind errorKindFromWire(std::uint16_t value)
{
    return value < errorKindCount ? static_cast<ErrorKind>(value) : ErrorKind::Internal;
}

}

Wire::PlacementCallT toWire(const Placement::Demand &demand, TimePoint now)
{
    Wire::PlacementCallT call;
    call.number = demand.id.number;
    call.service = demand.service.value();
    call.data_centre = demand.dataCentre.value();
    call.prompt_tokens = demand.promptTokens;
    call.output_tokens = demand.outputTokens;
    call.target_ms = toMilliseconds(demand.target);
    call.pause_limit_ms = toMilliseconds(demand.pauseLimit);
    call.age_ms = toMilliseconds(now - demand.arrivedAt);
    call.left_ms = toMilliseconds(demand.deadline - now);
    call.priority = demand.priority;
    call.fingerprint = demand.fingerprint;
    for (const UpstreamId &upstream : demand.excluded) {
        call.excluded.push_back(upstream.value());
    }
    return call;
}

Placement::Demand fromWire(const Wire::PlacementCallT &call, const HostId &host, TimePoint now)
{
    Placement::Demand demand;
    demand.id = {host, call.number};
    demand.service = ServiceId(call.service);
    demand.dataCentre = DataCentreId(call.data_centre);
    demand.promptTokens = call.prompt_tokens;
    demand.outputTokens = call.output_tokens;
    demand.target = milliseconds(call.target_ms);
    demand.pauseLimit = milliseconds(call.pause_limit_ms);
    demand.arrivedAt = now - milliseconds(call.age_ms);
    demand.deadline = now + milliseconds(call.left_ms);
    demand.priority = call.priority;
    demand.fingerprint = call.fingerprint;
    for (const std::string &upstream : call.excluded) {
        demand.excluded.insert(UpstreamId(upstream));
    }
    return demand;
}

Wire::PlacementAnswerT toWire(const Placement::Grant &grant)
{
    Wire::PlacementAnswerT answer;
    answer.number = grant.id.number;
    answer.result = Wire::PlacementResult::Granted;
    answer.upstream = grant.assignment.upstream.value();
    answer.address = grant.assignment.address.address;
    answer.port = grant.assignment.address.port;
    for (std::size_t index = 0; index < grant.assignment.helpers.size(); ++index) {
        answer.helpers.push_back(grant.assignment.helpers[index].value());
        answer.helper_addresses.push_back(grant.assignment.helperAddresses[index].address);
        answer.helper_ports.push_back(grant.assignment.helperAddresses[index].port);
    }
    answer.helper_memory = grant.assignment.helperMemory;
    answer.first_piece_us = static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(grant.assignment.firstPieceEstimate).count());
    return answer;
}

Wire::PlacementAnswerT toWire(const Placement::Refusal &refusal)
{
    Wire::PlacementAnswerT answer;
    answer.number = refusal.id.number;
    answer.result = Wire::PlacementResult::Refused;
    answer.error = static_cast<std::uint16_t>(refusal.kind);
    answer.retry_after_ms = toMilliseconds(refusal.retryAfter);
    return answer;
}

Wire::PlacementAnswerT queuedAnswer(const Placement::DemandId &id)
{
    Wire::PlacementAnswerT answer;
    answer.number = id.number;
    answer.result = Wire::PlacementResult::Queued;
    return answer;
}

Placement::Assignment placeFromWire(const Wire::PlacementAnswerT &answer)
{
    Placement::Assignment assignment;
    assignment.upstream = UpstreamId(answer.upstream);
    assignment.address = {answer.address, answer.port};
    const std::size_t helpers = std::min({answer.helpers.size(), answer.helper_addresses.size(), answer.helper_ports.size()});
    for (std::size_t index = 0; index < helpers; ++index) {
        assignment.helpers.emplace_back(answer.helpers[index]);
        assignment.helperAddresses.push_back({answer.helper_addresses[index], answer.helper_ports[index]});
    }
    if (answer.helper_memory.size() == helpers) {
        assignment.helperMemory = answer.helper_memory;
    }
    assignment.firstPieceEstimate = microseconds(answer.first_piece_us);
    return assignment;
}

Placement::Refusal refusalFromWire(const Wire::PlacementAnswerT &answer, const Placement::DemandId &id)
{
    return {id, errorKindFromWire(answer.error), milliseconds(answer.retry_after_ms)};
}

Wire::PlacementAdoptionT toWire(const Placement::ReportedGrant &grant, TimePoint now)
{
    Wire::PlacementAdoptionT adoption;
    adoption.call = std::make_unique<Wire::PlacementCallT>(toWire(grant.demand, now));
    adoption.upstream = grant.upstream.value();
    for (const UpstreamId &helper : grant.helpers) {
        adoption.helpers.push_back(helper.value());
    }
    adoption.reading = grant.reading;
    return adoption;
}

Placement::ReportedGrant fromWire(const Wire::PlacementAdoptionT &adoption, const HostId &host, TimePoint now)
{
    Placement::ReportedGrant grant;
    if (adoption.call) {
        grant.demand = fromWire(*adoption.call, host, now);
    }
    grant.upstream = UpstreamId(adoption.upstream);
    for (const std::string &helper : adoption.helpers) {
        grant.helpers.emplace_back(helper);
    }
    grant.reading = adoption.reading;
    return grant;
}

}
