#include "Daemon/WireHello.h"

#include "Daemon/HostContext.h"

namespace Mangofall {

std::shared_ptr<const Wire::HelloT> makeHello(const HostContext &host, Wire::Purpose purpose)
{
    auto hello = std::make_shared<Wire::HelloT>();
    hello->host = host.settings.hostId.value();
    hello->incarnation = host.incarnation;
    hello->data_centre = host.settings.dataCentre.value();
    hello->purpose = purpose;
    return hello;
}

}
