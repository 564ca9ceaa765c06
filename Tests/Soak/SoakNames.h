#pragma once

#include <chrono>

/// Names that the settings, the configuration and the checks of the soak run share.
namespace Mangofall::Soak::Names {

inline constexpr const char *engineService = "engines";
inline constexpr const char *plainService = "orders";
inline constexpr const char *hostName = "soak.example";
inline constexpr const char *organisation = "organisation-a";
inline constexpr const char *credential = "soak-key";
inline constexpr const char *harmfulPart = "dead"; ///< The part of a prompt that crashes each upstream which begins to answer it.

}

namespace Mangofall::Soak {

/// The time within which hosts must stop sending requests to an upstream that has announced that it leaves.
inline constexpr std::chrono::milliseconds drainNoticeLimit{2000};
/// The time limit of a graceful stop; hosts get it in their settings.
inline constexpr std::chrono::milliseconds stopLimit{8000};
/// The time after a fault from which all guarantees must hold again. Hosts get it in their settings as the time within which they must detect a silent
/// connection to the store.
inline constexpr std::chrono::milliseconds stabilisationTime{3000};
/// An upstream is cold for this time after it came back, and tolerates this number of requests per second until then.
inline constexpr std::chrono::milliseconds coldTime{2500};
inline constexpr unsigned coldRequestsPerSecond = 8;

}
