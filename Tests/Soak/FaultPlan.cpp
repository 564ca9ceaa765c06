#include "Soak/FaultPlan.h"

#include "Base/RandomEngine.h"
#include "Soak/SoakOptions.h"

#include <array>
#include <random>

namespace Mangofall::Soak {

namespace {

constexpr std::chrono::milliseconds plannedInterval{900};
constexpr int plannedPart = 3; // The first third of the time has planned work only.
constexpr int leastGapMs = 80;
constexpr int longestGapMs = 450;
constexpr int shortestFaultMs = 150;
constexpr int longestFaultMs = 2500;

// Kinds that happen often are listed more than once.
constexpr std::array<FaultKind, 19> unplannedKinds = {FaultKind::KillHost,
                                                      FaultKind::KillHost,
                                                      FaultKind::KillMostHosts,
                                                      FaultKind::PauseHost,
                                                      FaultKind::PauseHost,
                                                      FaultKind::StopHost,
                                                      FaultKind::ReloadHost,
                                                      FaultKind::HarmStoreLink,
                                                      FaultKind::HarmStoreLink,
                                                      FaultKind::HarmPeerLink,
                                                      FaultKind::HarmPeerLink,
                                                      FaultKind::StopStore,
                                                      FaultKind::ForgetHistory,
                                                      FaultKind::CrashUpstream,
                                                      FaultKind::MuteUpstream,
                                                      FaultKind::BusyUpstream,
                                                      FaultKind::FailUpstream,
                                                      FaultKind::SilenceUpstream,
                                                      FaultKind::DrainUpstream};
constexpr std::array<LinkFault, 5> linkFaults = {LinkFault::Delayed, LinkFault::CutToServer, LinkFault::CutToClient, LinkFault::Silent, LinkFault::Reset};

bool concernsUpstream(FaultKind kind)
{
    return kind == FaultKind::CrashUpstream || kind == FaultKind::MuteUpstream || kind == FaultKind::BusyUpstream || kind == FaultKind::FailUpstream
        || kind == FaultKind::SilenceUpstream || kind == FaultKind::DrainUpstream;
}

// Both services are harmed equally often, although one has fewer upstreams.
std::size_t drawUpstream(RandomEngine &random, const SoakOptions &options)
{
    if (std::bernoulli_distribution(0.5)(random)) {
        return std::uniform_int_distribution<std::size_t>(0, options.engines - 1)(random);
    }
    return options.engines + std::uniform_int_distribution<std::size_t>(0, options.plainUpstreams - 1)(random);
}

Duration milliseconds(RandomEngine &random, int least, int most)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(random));
}

}

std::string_view name(FaultKind kind)
{
    switch (kind) {
    case FaultKind::KillHost:
        return "kill a host";
    case FaultKind::KillMostHosts:
        return "kill most hosts";
    case FaultKind::PauseHost:
        return "pause a host";
    case FaultKind::StopHost:
        return "stop a host";
    case FaultKind::ReloadHost:
        return "reload a host";
    case FaultKind::HarmStoreLink:
        return "harm a link to the store";
    case FaultKind::HarmPeerLink:
        return "harm the links to a host";
    case FaultKind::StopStore:
        return "stop the store";
    case FaultKind::ForgetHistory:
        return "forget the store's history";
    case FaultKind::CrashUpstream:
        return "crash an upstream";
    case FaultKind::MuteUpstream:
        return "mute an upstream";
    case FaultKind::BusyUpstream:
        return "make an upstream refuse";
    case FaultKind::FailUpstream:
        return "make an upstream fail";
    case FaultKind::SilenceUpstream:
        return "silence the link to an upstream";
    case FaultKind::DrainUpstream:
        return "drain an upstream";
    }
    return "unknown";
}

std::vector<FaultStep> makeFaultPlan(const SoakOptions &options)
{
    RandomEngine random(options.seed);
    std::uniform_int_distribution<std::size_t> host(0, options.hosts - 1);
    std::vector<FaultStep> steps;
    const Duration plannedEnd = Duration(options.faultTime) / plannedPart;
    for (Duration at{}; at < plannedEnd; at += plannedInterval) {
        steps.push_back({at, std::bernoulli_distribution(0.8)(random) ? FaultKind::StopHost : FaultKind::ReloadHost, host(random), {}, LinkFault::None});
    }
    for (Duration at = plannedEnd; at < options.faultTime; at += milliseconds(random, leastGapMs, longestGapMs)) {
        const FaultKind kind = unplannedKinds[std::uniform_int_distribution<std::size_t>(0, unplannedKinds.size() - 1)(random)];
        const LinkFault link = linkFaults[std::uniform_int_distribution<std::size_t>(0, linkFaults.size() - 1)(random)];
        const std::size_t target = concernsUpstream(kind) ? drawUpstream(random, options) : host(random);
        steps.push_back({at, kind, target, milliseconds(random, shortestFaultMs, longestFaultMs), link});
    }
    return steps;
}

}
