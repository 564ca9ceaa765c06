#pragma once

#include <cstdint>

namespace Mangofall::StandIns {

/// Command line options of a stand-in.
struct StandInOptions {
    std::uint16_t port = 0; ///< 0 = any free port.
};

/// Parses the command line; on an error, prints the cause and exits with status 2.
StandInOptions parseStandInOptions(int argc, char **argv, const char *description);

/// Prints the port on standard output, alone on the first line, so that the test that started the stand-in can read it.
void printPort(std::uint16_t port);

}
