#pragma once

#include "EdgeProcess.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>

/// Values of the small deployment sites/marmita-sul.toml, as the platform and the operator state them.
namespace Mangofall::Review {

inline constexpr std::uint64_t machineMemoryBytes = 260ULL * 1024 * 1024;
inline constexpr double machineLinkBytesPerSecond = 125e6;
inline constexpr std::chrono::milliseconds contactTime{3000};
inline constexpr std::chrono::milliseconds drainTime{2000};

inline constexpr const char *hostName = "ficu95.example";
inline constexpr const char *tenant = "hule930";
inline constexpr const char *apiKey = "n2ctnfzs989anu6wsjnb";

/// The fields from which the platform fills in the settings template.
nlohmann::json settingsFields(const Machine &machine, std::uint16_t callerPort, std::uint16_t readyPort, std::uint16_t storePort);

/// A route of the configuration, without the fields that only streams have.
nlohmann::json route(const std::string &name, const char *kind, const char *service, std::chrono::milliseconds timeout, std::chrono::milliseconds target);

/// A streaming route whose streams may be resumed.
nlohmann::json streamRoute(const std::string &name, const char *service, std::chrono::milliseconds timeout, std::chrono::milliseconds target);

/// A service of plain requests.
nlohmann::json plainService(const char *name);

/// A service of model engines.
nlohmann::json engineService(const char *name, unsigned slots);

/// The whole configuration with one tenant.
nlohmann::json configuration(const nlohmann::json &routes, const nlohmann::json &services);

}
