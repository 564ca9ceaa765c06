#pragma once

#include "Wire.h"

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Review {

/**
 * \class Host
 * \brief A process of the project, started with the command of deploy/system.toml and the settings of deploy/settings.json.
 */
class Host
{
public:
    /// \p address is a loopback address that no other host has; \p folder gets the settings and the log.
    Host(std::string id, std::string zone, std::string address, const std::string &store, const std::string &folder);
    ~Host();

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    void start();
    void signal(int number);
    bool awaitReady(Milliseconds time) const;
    bool ready() const;
    /// How the process ended, if it did; empty while it runs.
    std::string end();
    bool logContains(const std::string &text) const;
    std::string logPath() const;

    const std::string &id() const;
    std::unique_ptr<Connection> connect() const;

private:
    std::string m_id;
    std::string m_address;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_readyPort = 0;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = 0;
    std::string m_end;
};

}
