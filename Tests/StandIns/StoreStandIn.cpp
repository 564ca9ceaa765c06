#include "StandIns/StandInMain.h"
#include "StandIns/StoreServer.h"

#include <boost/asio/io_context.hpp>

int main(int argc, char **argv)
{
    using namespace Mangofall::StandIns;
    const StandInOptions options = parseStandInOptions(argc, argv, "Stand-in for the key-value store; /control injects faults");
    boost::asio::io_context context(1);
    StoreServer server(context, options.port);
    server.start();
    printPort(server.port());
    context.run();
}
