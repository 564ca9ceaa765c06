#pragma once

#include "Config/NetworkAddress.h"

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Mangofall::Review {

/// A machine of class front and its address.
struct Machine {
    std::string node;
    std::string zone;
    std::string address;
};

/**
 * \class EdgeProcess
 * \brief The process of the deploy file's role on one machine; it is killed when this object is destroyed.
 */
class EdgeProcess
{
public:
    /// Fills the settings template in and writes the result, and later the log of the process, into \p folder.
    EdgeProcess(Machine machine, std::uint16_t storePort, const std::string &folder);
    ~EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    EdgeProcess &operator=(const EdgeProcess &) = delete;

    void start();
    void signal(int number);
    bool running() const;
    /// Reaps the process if it has ended since the last call, and returns its status as given by waitpid.
    std::optional<int> reap();
    /// Memory of the process that is in use, in bytes.
    std::uint64_t residentBytes() const;

    const Machine &machine() const;
    NetworkAddress callerAddress() const;
    NetworkAddress readyAddress() const;

private:
    Machine m_machine;
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process = 0;
};

}
