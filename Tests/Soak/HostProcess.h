#pragma once

#include "Base/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>

namespace Mangofall::Soak {

/**
 * \class HostProcess
 * \brief One mangofall-edge process, which is killed when this object is destroyed.
 */
class HostProcess
{
public:
    /// Standard output and standard error of the process are appended to the file \p log.
    HostProcess(std::string program, std::string settingsFile, std::string log);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start();
    void signal(int number);
    bool running() const;
    /// Reaps the process if it has ended since the last call, and returns its status as given by waitpid.
    std::optional<int> reap();

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_log;
    pid_t m_process = 0;
};

}
