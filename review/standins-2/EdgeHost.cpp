#include "EdgeHost.h"

#include "HttpConnection.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

namespace Review {

namespace {

using nlohmann::json;

constexpr const char *program = "target/bin/mangofall-edge";
constexpr const char *templateFile = "deploy/settings.json";
constexpr int frontPort = 8227;
constexpr int readyPort = 8220;
constexpr int firstInternalPort = 7340;
constexpr int lastInternalPort = 7355;
constexpr int statusOk = 200;
constexpr Milliseconds readyTimeout{800};
constexpr int logMode = 0644;
constexpr std::size_t bytesPerKilobyte = 1024;

std::string readFile(const std::string &name)
{
    std::ifstream stream(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// The figures of the sheets' small deployments.
json fieldsOf(const EdgeSetup &setup)
{
    json fields = json::object();
    fields["node"] = setup.name;
    fields["zone"] = setup.zone;
    fields["ip"] = setup.ip;
    fields["internal_ports"] = {firstInternalPort, lastInternalPort};
    fields["listen"] = {{"front", setup.ip + ":" + std::to_string(frontPort)}, {"ready", setup.ip + ":" + std::to_string(readyPort)}};
    fields["limits"] = {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", setup.memoryMb}, {"link_mbps", 1000.0}};
    fields["provider"] = {{"address", setup.store.text()}, {"writes_per_s", 400}};
    fields["bounds"] = {{"contact_ms", 3000},
                        {"drain_ms", 2000},
                        {"grace_s", 8},
                        {"config_ms", 2000},
                        {"evacuate_ms", 5000},
                        {"retry_budget_ratio", 0.2},
                        {"retry_budget_slack", 106}};
    return fields;
}

json lookUp(const json &fields, const std::string &path)
{
    json value = fields;
    std::stringstream stream(path);
    std::string name;
    while (std::getline(stream, name, '.')) {
        value = value.is_array() ? value.at(std::stoul(name)) : value.at(name);
    }
    return value;
}

// The actions that posix_spawn performs in the new process.
class FileActions
{
public:
    explicit FileActions(const std::string &log)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }

    ~FileActions()
    {
        posix_spawn_file_actions_destroy(&m_actions);
    }

    FileActions(const FileActions &) = delete;
    FileActions &operator=(const FileActions &) = delete;

    const posix_spawn_file_actions_t *get() const
    {
        return &m_actions;
    }

private:
    posix_spawn_file_actions_t m_actions{};
};

}

std::string fillTemplate(const std::string &text, const json &fields)
{
    std::string result;
    std::size_t position = 0;
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", position)) {
        const std::size_t end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        const std::size_t bar = name.find('|');
        const bool asJson = bar != std::string::npos;
        const json value = lookUp(fields, name.substr(0, bar));
        result += text.substr(position, begin - position);
        result += value.is_string() && !asJson ? value.get<std::string>() : value.dump();
        position = end + 2;
    }
    return result + text.substr(position);
}

EdgeHost::EdgeHost(EdgeSetup setup)
    : m_setup(std::move(setup))
{
    writeSettings();
}

EdgeHost::~EdgeHost()
{
    if (m_process != 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

const std::string &EdgeHost::name() const
{
    return m_setup.name;
}

Address EdgeHost::callerAddress() const
{
    return {m_setup.ip, frontPort};
}

void EdgeHost::start()
{
    const FileActions actions(m_setup.folder + "/" + m_setup.name + ".log");
    std::vector<std::string> environment{"MANGOFALL_SETTINGS=" + m_setup.folder + "/" + m_setup.name + ".json"};
    for (const char *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = ::getenv(name)) {
            environment.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char *> pointers;
    for (std::string &entry : environment) {
        pointers.push_back(entry.data());
    }
    pointers.push_back(nullptr);
    std::string name = program;
    std::array<char *, 2> arguments{name.data(), nullptr};
    if (::posix_spawn(&m_process, program, actions.get(), nullptr, arguments.data(), pointers.data()) != 0) {
        m_process = 0;
        throw std::runtime_error(std::string("cannot start ") + program);
    }
}

void EdgeHost::signal(int number)
{
    if (m_process != 0) {
        ::kill(m_process, number);
    }
}

bool EdgeHost::running() const
{
    return m_process != 0;
}

std::optional<int> EdgeHost::reap()
{
    int status = 0;
    if (m_process == 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = 0;
    return status;
}

std::size_t EdgeHost::memoryBytes() const
{
    if (m_process == 0) {
        return 0;
    }
    std::ifstream stream("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * bytesPerKilobyte;
        }
    }
    return 0;
}

bool EdgeHost::ready() const
{
    Socket socket = Socket::connectTo({m_setup.ip, readyPort}, readyTimeout);
    if (!socket.valid()) {
        return false;
    }
    socket.setReceiveTimeout(readyTimeout);
    HttpConnection connection(std::move(socket));
    connection.socket().sendAll("GET /v1/ready HTTP/1.1\r\nHost: " + m_setup.ip + "\r\nConnection: close\r\n\r\n");
    const std::optional<HttpHead> head = connection.readHead();
    return head && head->status() == statusOk;
}

void EdgeHost::writeSettings() const
{
    std::ofstream(m_setup.folder + "/" + m_setup.name + ".json") << fillTemplate(readFile(templateFile), fieldsOf(m_setup));
}

}
