#include "EdgeProcess.h"

#include "Deployment.h"
#include "SettingsTemplate.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace Mangofall::Review {

namespace {

constexpr mode_t logMode = 0644;
constexpr std::uint16_t callerPort = 8227;
constexpr std::uint16_t readyPort = 8220;
constexpr const char *deployFile = "deploy/system.toml";
constexpr const char *settingsVariable = "MANGOFALL_SETTINGS";

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// The value of the first line 'name = "value"' of the deploy file.
std::string deployValue(const std::string &name)
{
    const std::string text = readFile(deployFile);
    const std::string start = "\n" + name + " = \"";
    const std::size_t position = text.find(start);
    if (position == std::string::npos) {
        throw std::runtime_error("the deploy file has no " + name);
    }
    const std::size_t begin = position + start.size();
    return text.substr(begin, text.find('"', begin) - begin);
}

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

    void appendOutputTo(const std::string &file)
    {
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
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

EdgeProcess::EdgeProcess(Machine machine, std::uint16_t storePort, const std::string &folder)
    : m_machine(std::move(machine))
    , m_program(deployValue("run"))
    , m_settingsFile(folder + "/" + m_machine.node + ".json")
    , m_logFile(folder + "/" + m_machine.node + ".log")
{
    const nlohmann::json fields = settingsFields(m_machine, callerPort, readyPort, storePort);
    std::ofstream(m_settingsFile) << fillTemplate(readFile(deployValue("template")), fields);
}

EdgeProcess::~EdgeProcess()
{
    if (m_process != 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void EdgeProcess::start()
{
    FileActions actions;
    actions.appendOutputTo(m_logFile);
    std::string path = std::string("PATH=") + std::getenv("PATH");
    std::string settings = std::string(settingsVariable) + "=" + m_settingsFile;
    std::array<char *, 3> environment{path.data(), settings.data(), nullptr};
    std::array<char *, 2> arguments{m_program.data(), nullptr};
    const int error = ::posix_spawn(&m_process, m_program.c_str(), actions.get(), nullptr, arguments.data(), environment.data());
    if (error != 0) {
        m_process = 0;
        throw std::system_error(error, std::generic_category(), "cannot start " + m_program);
    }
}

void EdgeProcess::signal(int number)
{
    if (m_process != 0) {
        ::kill(m_process, number);
    }
}

bool EdgeProcess::running() const
{
    return m_process != 0;
}

std::optional<int> EdgeProcess::reap()
{
    int status = 0;
    if (m_process == 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = 0;
    return status;
}

std::uint64_t EdgeProcess::residentBytes() const
{
    if (m_process == 0) {
        return 0;
    }
    std::ifstream stream("/proc/" + std::to_string(m_process) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    stream >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

const Machine &EdgeProcess::machine() const
{
    return m_machine;
}

NetworkAddress EdgeProcess::callerAddress() const
{
    return {m_machine.address, callerPort};
}

NetworkAddress EdgeProcess::readyAddress() const
{
    return {m_machine.address, readyPort};
}

}
