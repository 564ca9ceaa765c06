#include "Soak/HostProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace Mangofall::Soak {

namespace {

constexpr mode_t logMode = 0644;

// The actions that posix_spawn performs in the new process.
class FileActions
{
public:
    FileActions()
    {
        posix_spawn_file_actions_init(&m_actions);
    }

    ~FileActions()
    {
        posix_spawn_file_actions_destroy(&m_actions);
    }

    FileActions(const FileActions &) = delete;
    FileActions &operator=(const FileActions &) = delete;

    void appendTo(const std::string &file)
    {
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }

    // A socket that the new process inherits stays open when this process closes it, so that the other end would see silence instead of a closed connection.
    void closeOtherDescriptors()
    {
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
    }

    const posix_spawn_file_actions_t *get() const
    {
        return &m_actions;
    }

private:
    posix_spawn_file_actions_t m_actions{};
};

}

HostProcess::HostProcess(std::string program, std::string settingsFile, std::string log)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_log(std::move(log))
{
}

HostProcess::~HostProcess()
{
    if (m_process != 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void HostProcess::start()
{
    FileActions actions;
    actions.appendTo(m_log);
    actions.closeOtherDescriptors();
    std::string option = "--config";
    std::array<char *, 4> arguments{m_program.data(), option.data(), m_settingsFile.data(), nullptr};
    const int error = ::posix_spawn(&m_process, m_program.c_str(), actions.get(), nullptr, arguments.data(), environ);
    if (error != 0) {
        m_process = 0;
        throw std::system_error(error, std::generic_category(), "cannot start " + m_program);
    }
}

void HostProcess::signal(int number)
{
    if (m_process != 0) {
        ::kill(m_process, number);
    }
}

bool HostProcess::running() const
{
    return m_process != 0;
}

std::optional<int> HostProcess::reap()
{
    int status = 0;
    if (m_process == 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = 0;
    return status;
}

}
