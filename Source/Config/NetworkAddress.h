#pragma once

#include <cstdint>
#include <string>

namespace Mangofall {

/**
 * \class NetworkAddress
 * \brief A numeric IP address and a TCP port.
 */
struct NetworkAddress {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const NetworkAddress &, const NetworkAddress &) = default;
};

}
