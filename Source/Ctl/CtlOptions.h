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
 * \brief The command line of mangofallctl.
 */
struct CtlOptions {
    NetworkAddress server; ///< The operators' listener of a daemon.
    std::string keyFile;
    std::string changeId; ///< Empty: a new one.
    bool json = false;
    std::optional<Duration> wait; ///< How long to wait until every live host has the change.
    std::vector<std::string> words; ///< Subcommand and its arguments.
};

/// Exit statuses of mangofallctl.
enum class CtlStatus {
    Success = 0,
    Failure = 1,
    BadUse = 2,
};

/// Outcome of parsing: options, or the status to exit with.
struct CtlParseResult {
    std::optional<CtlOptions> options;
    CtlStatus status = CtlStatus::Success;
};

/// Parses \p arguments (the program's name first); complaints go to \p errors, help to \p output.
CtlParseResult parseCtlOptions(std::vector<std::string> arguments, std::ostream &output, std::ostream &errors);

/// Parses a number with unit `ms`, `s` or `m`; empty if \p text has another format.
std::optional<Duration> parseDuration(const std::string &text);

}
