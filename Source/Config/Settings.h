#pragma once

#include "Base/Ids.h"
#include "Config/NetworkAddress.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <vector>

namespace Mangofall {

enum class LogThreshold {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/**
 * \class LogSettings
 * \brief What the daemon logs and in which layout.
 */
struct LogSettings {
    LogThreshold level = LogThreshold::Info;
    bool json = false;

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/**
 * \class Settings
 * \brief One host's settings file: what the host is and where it finds its surroundings.
 *
 * A listener's port 0 stands for any free port.
 */
struct Settings {
    HostId hostId;
    DataCentreId dataCentre;
    RegionId region;
    NetworkAddress callerListener;
    NetworkAddress operatorListener;
    NetworkAddress peerListener;
    std::string advertisedAddress; ///< Where other hosts reach this one; listeners may bind to all addresses.
    std::uint32_t trafficThreads = 1;
    NetworkAddress store;
    NetworkAddress hostList;
    std::filesystem::path operatorKeyFile;
    LogSettings log;
    std::optional<std::filesystem::path> spansFile; ///< Spans are appended as OTLP JSON; none without it.
    std::vector<NetworkAddress> peers; ///< Peers to greet at start, before the host list answers.
    std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024; ///< Largest body of a caller's request.

    friend bool operator==(const Settings &, const Settings &) = default;
};

}
