#pragma once

#include <nlohmann/json.hpp>

namespace Review {

/// Names that a configuration of the operator uses here.
namespace Names {
inline constexpr const char *hostName = "ficu95.example";
inline constexpr const char *key = "n2ctnfzs989anu6wsjnb";
inline constexpr const char *tenant = "hule930";
inline constexpr const char *modelService = "huvo11a";
inline constexpr const char *plainService = "wuno96b";
}

/// The configuration of the pages' example, with a service of model runners and a plain service, but without routes.
nlohmann::json exampleConfiguration();

}
