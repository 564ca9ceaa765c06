#pragma once

#include <cstdint>

namespace Mangofall::StandIns {

/// Command line of a stand-in.
struct StandInOptions {
    std::uint16_t port = 0; ///< 0 = any free port.
};

/// Parses the command line; prints the usage and exits with status 2 if it is wrong.
StandInOptions parseStandInOptions(int argc, char **argv, const char *description);

/// Prints the port on standard output, alone on the first line, so that the starting test can read it.
void printPort(std::uint16_t port);

}
