#include "StandIns/HostListServer.h"
#include "StandIns/StandInMain.h"

#include <boost/asio/io_context.hpp>

int main(int argc, char **argv)
{
    using namespace Mangofall::StandIns;
    const StandInOptions options
        = parseStandInOptions(argc, argv, "Stand-in for the list of live and leaving hosts; /control sets the delay of changes and outages");
    boost::asio::io_context context(1);
    HostListServer server(context, options.port);
    server.start();
    printPort(server.port());
    context.run();
}
