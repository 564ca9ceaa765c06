#pragma once

#include "Base/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>

namespace Mangofall::Soak {

/**
 * \class HostProcess
 * \brief One mangofall-edge process; it is killed when this object ends.
 */
class HostProcess
{
public:
    /// \p log gets what the process writes to its standard output.
    HostProcess(std::string program, std::string settingsFile, std::string log);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start();
    void signal(int number);
    bool running() const;
    /// Collects an ended process; how it ended, if it did since the last call.
    std::optional<int> reap();

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_log;
    pid_t m_process = 0;
};

}
