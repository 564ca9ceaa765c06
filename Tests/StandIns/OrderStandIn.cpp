#include "StandIns/OrderServer.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <memory>
#include <vector>

using namespace Mangofall::StandIns;

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("Stand-in for order applications on 127.0.0.1; counts how often each order ran.");
        TCLAP::MultiArg<std::uint16_t> ports(
            "p", "port", "port of one application, 0 = any free port; repeat the flag for more applications", true, "port", commandLine);
        TCLAP::ValueArg<std::int64_t> restartDuration("", "restart-ms", "downtime after a simulated crash in milliseconds", false, 1000, "ms", commandLine);
        commandLine.parse(argc, argv);

        boost::asio::io_context context(1);
        std::vector<std::unique_ptr<OrderServer>> servers;
        for (const std::uint16_t port : ports.getValue()) {
            servers.push_back(std::make_unique<OrderServer>(context, port, std::chrono::milliseconds(restartDuration.getValue())));
            servers.back()->start();
            std::cout << servers.back()->port() << std::endl;
        }
        context.run();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "order-stand-in: " << error.argId() << ": " << error.error() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "order-stand-in: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
