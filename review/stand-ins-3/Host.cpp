#include "Host.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace Review {

namespace {

constexpr const char *program = "target/bin/mangofall-edge"; // The command of the role 'edge' in deploy/system.toml.
constexpr const char *settingsTemplate = "deploy/settings.json";
constexpr Milliseconds pollInterval{50};
constexpr Milliseconds readyTimeout{1000};
constexpr mode_t logMode = 0644;

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// Fills in the places of the template; the figures are those of sites/parukar-flotila.toml, as 'fleetbench wire' prints them.
std::string fillTemplate(std::string text, std::map<std::string, std::string> values)
{
    values.insert({{"provider.writes_per_s", "400"},
                   {"bounds.retry_budget_ratio", "0.2"},
                   {"bounds.retry_budget_slack", "106"},
                   {"bounds.grace_s", "8"},
                   {"bounds.contact_ms", "3000"},
                   {"bounds.config_ms", "2000"},
                   {"bounds.drain_ms", "2000"},
                   {"bounds.evacuate_ms", "5000"},
                   {"limits.link_mbps", "1000.0"},
                   {"limits.cpu_share", "0.25"},
                   {"limits.cores", "1"},
                   {"limits.memory_mb", "260"}});
    for (const auto &[name, value] : values) {
        const std::string place = "{{" + name + "}}";
        for (std::size_t at = text.find(place); at != std::string::npos; at = text.find(place)) {
            text.replace(at, place.size(), value);
        }
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("a place of the settings template is unknown: " + text.substr(text.find("{{"), 40));
    }
    return text;
}

}

Host::Host(std::string id, std::string zone, std::string address, const std::string &store, const std::string &folder)
    : m_id(std::move(id))
    , m_address(std::move(address))
    , m_callerPort(freePort(m_address))
    , m_readyPort(freePort(m_address))
    , m_settings(folder + "/" + m_id + ".json")
    , m_log(folder + "/" + m_id + ".log")
{
    const std::map<std::string, std::string> values = {{"node|json", quoted(m_id)},
                                                       {"zone|json", quoted(zone)},
                                                       {"ip|json", quoted(m_address)},
                                                       {"listen.front|json", quoted(m_address + ":" + std::to_string(m_callerPort))},
                                                       {"listen.ready|json", quoted(m_address + ":" + std::to_string(m_readyPort))},
                                                       {"internal_ports.0", std::to_string(freePort(m_address))},
                                                       {"internal_ports.1", std::to_string(freePort(m_address))},
                                                       {"provider.address|json", quoted(store)}};
    std::ofstream(m_settings) << fillTemplate(readFile(settingsTemplate), values);
}

Host::~Host()
{
    if (m_process != 0 && end().empty()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void Host::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string name = program;
    std::string variable = "MANGOFALL_SETTINGS=" + m_settings;
    std::array<char *, 2> arguments{name.data(), nullptr};
    std::array<char *, 2> environment{variable.data(), nullptr};
    m_end.clear();
    const int error = ::posix_spawn(&m_process, program, &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_process = 0;
        throw std::runtime_error(std::string("cannot start ") + program + ": " + std::strerror(error));
    }
}

void Host::signal(int number)
{
    if (m_process != 0 && end().empty()) {
        ::kill(m_process, number);
    }
}

bool Host::awaitReady(Milliseconds time) const
{
    const TimePoint limit = Clock::now() + time;
    while (Clock::now() < limit) {
        if (ready()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool Host::ready() const
{
    const std::unique_ptr<Connection> connection = Connection::open(m_address, m_readyPort);
    if (!connection) {
        return false;
    }
    connection->setReadTimeout(readyTimeout);
    connection->write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const std::optional<Message> answer = connection->readHead();
    return answer && answer->startLine.find(" 200") != std::string::npos;
}

std::string Host::end()
{
    int status = 0;
    if (m_end.empty() && m_process != 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit " + std::to_string(WEXITSTATUS(status));
    }
    return m_end;
}

bool Host::logContains(const std::string &text) const
{
    return readFile(m_log).find(text) != std::string::npos;
}

std::string Host::logPath() const
{
    return m_log;
}

const std::string &Host::id() const
{
    return m_id;
}

std::unique_ptr<Connection> Host::connect() const
{
    return Connection::open(m_address, m_callerPort);
}

}
