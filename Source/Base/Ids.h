#pragma once

#include "Base/StrongId.h"

namespace Mangofall {

/// A machine that runs `mangofalld`.
using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
/// A customer to whom limits and fair shares apply.
using OrganisationId = StrongId<struct OrganisationIdTag>;
/// A back end: a model engine, or one runner (instance) of a plain service.
using UpstreamId = StrongId<struct UpstreamIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
/// A plain service: one without model engines, which runs beside them.
using ServiceId = StrongId<struct ServiceIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using PresetName = StrongId<struct PresetNameTag>;
/// One configuration change; applying a change again with the same id has no further effect.
using ChangeId = StrongId<struct ChangeIdTag>;
/// The caller's idempotency key, qualified by organisation and route.
using OrderKey = StrongId<struct OrderKeyTag>;

}
