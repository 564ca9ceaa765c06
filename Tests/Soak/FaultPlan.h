#pragma once

#include "Base/Time.h"
#include "Soak/FaultProxy.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Mangofall::Soak {

struct SoakOptions;

enum class FaultKind {
    KillHost,
    KillMostHosts,
    PauseHost,
    StopHost, ///< Planned: by signal.
    ReloadHost, ///< Planned: the settings are read again.
    HarmStoreLink,
    HarmPeerLink,
    StopStore,
    ForgetHistory,
    CrashUpstream,
    MuteUpstream,
    BusyUpstream,
    FailUpstream,
    SilenceUpstream,
    DrainUpstream,
};

std::string_view name(FaultKind kind);

/// One fault; those that last end after \p length.
struct FaultStep {
    Duration at{};
    FaultKind kind = FaultKind::KillHost;
    std::size_t target = 0;
    Duration length{};
    LinkFault link = LinkFault::None;
};

/// The faults of a seed in order: first a series of planned work alone, then faults that overlap.
std::vector<FaultStep> makeFaultPlan(const SoakOptions &options);

}
