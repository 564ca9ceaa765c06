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
 * \brief Lowest level that the daemon logs, and the format of the log lines.
 */
struct LogSettings {
    LogThreshold level = LogThreshold::Info;
    bool json = false; ///< Whether log lines are JSON objects.

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/**
 * \class Settings
 * \brief Content of a host's settings file: identity of the host, its listeners, and the addresses of the services and peers that it connects to.
 *
 * Port 0 of a listener stands for any free port.
 */
struct Settings {
    HostId hostId;
    DataCentreId dataCentre;
    RegionId region;
    NetworkAddress callerListener;
    NetworkAddress operatorListener;
    NetworkAddress peerListener;
    std::string advertisedAddress; ///< Address at which other hosts reach this one; the listeners may be bound to the unspecified address.
    std::uint32_t trafficThreads = 1;
    NetworkAddress store;
    NetworkAddress hostList;
    std::filesystem::path operatorKeyFile;
    LogSettings log;
    std::optional<std::filesystem::path> spansFile; ///< File to which spans are appended as OTLP JSON; without it no spans are written.
    std::vector<NetworkAddress> peers; ///< Peers to connect to at start, before the host list answers.
    std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024; ///< Largest request body accepted from a caller.

    friend bool operator==(const Settings &, const Settings &) = default;
};

}
