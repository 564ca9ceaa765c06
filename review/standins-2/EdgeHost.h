#pragma once

#include "Socket.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <optional>
#include <string>

namespace Review {

/// What the platform tells a host in its settings.
struct EdgeSetup {
    std::string name;
    std::string zone;
    std::string ip;
    Address store;
    int memoryMb = 0;
    std::string folder; ///< For the settings file and the log.
};

/**
 * \class EdgeHost
 * \brief One process of the program under review, started as the deploy file says.
 */
class EdgeHost
{
public:
    explicit EdgeHost(EdgeSetup setup);
    ~EdgeHost();

    EdgeHost(const EdgeHost &) = delete;
    EdgeHost &operator=(const EdgeHost &) = delete;

    const std::string &name() const;
    Address callerAddress() const;

    void start();
    void signal(int number);
    bool running() const;
    /// The wait status of the process if it has ended since the last call.
    std::optional<int> reap();
    /// Memory of the process in use, in bytes; 0 if it does not run.
    std::size_t memoryBytes() const;
    /// Whether the process answers the platform's question with 200.
    bool ready() const;

private:
    void writeSettings() const;

    EdgeSetup m_setup;
    pid_t m_process = 0;
};

/// The words of the template of the deploy file, with the fields of a host filled in.
std::string fillTemplate(const std::string &text, const nlohmann::json &fields);

}
