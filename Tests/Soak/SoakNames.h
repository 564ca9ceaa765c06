#pragma once

#include <chrono>

/// Values that the parts of the soak share.
namespace Mangofall::Soak::Names {

inline constexpr const char *engineService = "engines";
inline constexpr const char *plainService = "orders";
inline constexpr const char *hostName = "soak.example";
inline constexpr const char *organisation = "organisation-a";
inline constexpr const char *credential = "soak-key";

}

namespace Mangofall::Soak {

/// Bounds that the settings and the configuration of the soak give to the hosts.
inline constexpr std::chrono::milliseconds drainBound{2000};
inline constexpr std::chrono::milliseconds stopTime{8000};
/// After this time without a fault all bounds hold again.
inline constexpr std::chrono::milliseconds settleTime{3000};

}
