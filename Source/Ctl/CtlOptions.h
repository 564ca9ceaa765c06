#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class CtlOptions
 * \brief The parsed command line of mangofallctl.
 */
struct CtlOptions {
    NetworkAddress server; ///< Address of the operator listener of a daemon.
    std::string keyFile; ///< Path of the file with the operator key.
    std::string changeId; ///< Id to send the change with; if empty, a new id is generated.
    bool json = false; ///< Print JSON instead of text.
    std::string inForce; ///< File with the configuration in force, or address of the store that holds it; for the check of a configuration.
    bool strict = false; ///< Whether warnings make the check of a configuration fail.
    std::optional<Duration> wait; ///< Longest time to wait until every live host has the change; empty to return at once.
    std::vector<std::string> words; ///< The subcommand and its arguments.
};

/// Exit statuses of mangofallctl.
enum class CtlStatus {
    Success = 0,
    Failure = 1,
    UsageError = 2,
};

/// Result of parsing: the options, or the status to exit with if there are none.
struct CtlParseResult {
    std::optional<CtlOptions> options;
    CtlStatus status = CtlStatus::Success;
};

/// Parses \p arguments, the first of which is the program's name. Writes error messages to \p errors and help to \p output.
CtlParseResult parseCtlOptions(std::vector<std::string> arguments, std::ostream &output, std::ostream &errors);

/// Parses a numeric address and a port, such as `127.0.0.1:8081`; returns nothing if \p text has another format.
std::optional<NetworkAddress> parseServer(const std::string &text);

/// Parses a whole number with the unit `ms`, `s` or `m` (minutes); returns nothing if \p text has another format.
std::optional<Duration> parseDuration(const std::string &text);

}
