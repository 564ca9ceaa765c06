#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace Mangofall {

/// When the kernel probes a connection on which nothing arrives, and when it gives the connection up.
struct KeepAliveTimes {
    std::chrono::seconds idle{1}; ///< From the last byte to the first probe.
    std::chrono::seconds interval{1}; ///< Between two probes.
    int probes = 2; ///< Number of probes without an answer that end the connection.
};

/// Makes operations on \p socket fail if the other machine or the way to it is gone. A machine that is only slow keeps its connection, because its kernel
/// answers the probes. Errors are ignored: without probes the connection ends with its timeouts.
void enableKeepAlive(boost::asio::ip::tcp::socket &socket, const KeepAliveTimes &times = {});

}
