#pragma once

#include "Placement/EngineSpec.h"
#include "Placement/PlacementRequest.h"
#include "Placement/ServiceSpec.h"
#include "Placement/UpstreamEntry.h"

#include <string>

/// Fixtures that the placement tests share.
namespace Mangofall::Placement::Testing {

using std::chrono::milliseconds;

inline const ServiceId engines("engines");
inline const ServiceId orders("orders");
inline const DataCentreId here("here");

/// The figures of an engine that prefills 154 tokens per millisecond.
inline EngineSpec engineSpec()
{
    EngineSpec spec;
    spec.slots = 16;
    spec.memoryTokens = 405'000;
    spec.stepsPerIteration = 34;
    spec.chunkTokens = 2048;
    spec.stepMs = 1.31;
    spec.decodingRequestMs = 0.000917;
    spec.contextMs = 0.00213;
    spec.prefillTokensPerMs = 154;
    spec.pairsMs = 0.162;
    return spec;
}

inline UpstreamEntry upstream(const std::string &id, const ServiceId &service, std::uint32_t slots = 16)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = service;
    entry.address = {"127.0.0.1", 1};
    entry.dataCentre = here;
    entry.slots = slots;
    return entry;
}

inline PlacementRequest placementRequest(std::uint64_t number, std::uint64_t promptTokens, milliseconds target, milliseconds pauseLimit, TimePoint now)
{
    PlacementRequest result;
    result.id = {HostId("entry"), number};
    result.service = engines;
    result.dataCentre = here;
    result.promptTokens = promptTokens;
    result.outputTokens = promptTokens > 0 ? 1000 : 0;
    result.target = target;
    result.pauseLimit = pauseLimit;
    result.arrivedAt = now;
    result.deadline = now + milliseconds(10'000);
    result.fingerprint = number;
    return result;
}

inline PlacementRequest shortPrompt(std::uint64_t number, TimePoint now)
{
    return placementRequest(number, 5'000, milliseconds(300), milliseconds(250), now);
}

inline PlacementRequest longPrompt(std::uint64_t number, TimePoint now)
{
    return placementRequest(number, 182'000, milliseconds(3000), milliseconds(1000), now);
}

inline PlacementRequest orderRequest(std::uint64_t number, TimePoint now)
{
    PlacementRequest result = placementRequest(number, 0, milliseconds(300), milliseconds(0), now);
    result.service = orders;
    return result;
}

}
