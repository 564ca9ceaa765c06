#include "StandIns/StandInMain.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <limits>

namespace Mangofall::StandIns {

StandInOptions parseStandInOptions(int argc, char **argv, const char *description)
{
    constexpr int usageStatus = 2;
    try {
        TCLAP::CmdLine command(description, ' ', "1");
        command.setExceptionHandling(false);
        TCLAP::ValueArg<unsigned> port("", "port", "TCP port on 127.0.0.1; 0 = any free port", false, 0, "port", command);
        command.parse(argc, argv);
        if (port.getValue() > std::numeric_limits<std::uint16_t>::max()) {
            std::cerr << "--port: " << port.getValue() << " is out of range, allowed: 0 to 65535\n";
            std::exit(usageStatus);
        }
        return {static_cast<std::uint16_t>(port.getValue())};
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        std::exit(usageStatus);
    } catch (const TCLAP::ExitException &exit) {
        std::exit(exit.getExitStatus());
    }
}

void printPort(std::uint16_t port)
{
    std::cout << port << std::endl;
}

}
