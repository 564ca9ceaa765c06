#include "Base/Sha256.h"
#include "Config/SettingsReader.h"
#include "Daemon/ControlPlane.h"
#include "Daemon/HostContext.h"
#include "Telemetry/Log.h"

#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

struct Arguments {
    std::string config;
    std::string hashKeyFile;
    bool check = false;
};

// Exceptions are handled here because TCLAP's own handler exits with status 1 for a usage error.
std::optional<Arguments> parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Serves language model requests between callers and upstreams", ' ', MANGOFALL_VERSION);
    commandLine.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> config("c", "config", "Settings file (JSON with comments)", false, "", "FILE", commandLine);
    TCLAP::ValueArg<std::string> hashKey(
        "", "hash-key", "Print the hash of the key in FILE, for an organisation's apiKeyHash, and exit", false, "", "FILE", commandLine);
    TCLAP::SwitchArg check("", "check", "Validate the settings and exit", commandLine);
    try {
        commandLine.parse(argc, argv);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "mangofalld: " << error.error() << " " << error.argId() << '\n';
        return std::nullopt;
    } catch (const TCLAP::ExitException &exit) {
        std::exit(exit.getExitStatus());
    }
    if (config.isSet() == hashKey.isSet()) {
        std::cerr << "mangofalld: give exactly one of --config and --hash-key\n";
        return std::nullopt;
    }
    return Arguments{config.getValue(), hashKey.getValue(), check.getValue()};
}

// Returns the first line of the key file; empty if the file cannot be read.
std::string readKey(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::string key;
    std::getline(stream, key);
    return key;
}

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

int runDaemon(const Mangofall::Settings &settings)
{
    using namespace Mangofall;
    const Log log("daemon");
    const std::string key = readKey(settings.operatorKeyFile);
    if (key.empty()) {
        std::cerr << "mangofalld: cannot read a key from " << settings.operatorKeyFile << '\n';
        return exitFailure;
    }
    const std::string spansFile = settings.spansFile ? settings.spansFile->string() : std::string();
    HostContext host{
        settings, newIncarnation(), Metrics(), SpanRecorder(spansFile, "mangofalld", settings.hostId.value()), HostLimits(), SharedQuarantine(settings.hostId)};
    ControlPlane control(host, key);
    if (const std::error_code error = control.listen()) {
        std::cerr << "mangofalld: cannot listen: " << error.message() << '\n';
        return exitFailure;
    }
    log.info("Host " + settings.hostId.value() + " serves callers on port " + std::to_string(control.callerPort()) + ", operators on port "
             + std::to_string(control.operatorPort()) + " and peers on port " + std::to_string(control.peerPort()) + ".");
    control.run();
    log.info("Stopped.");
    return 0;
}

}

int main(int argc, char **argv)
{
    const std::optional<Arguments> arguments = parseArguments(argc, argv);
    if (!arguments) {
        return exitUsage;
    }
    if (!arguments->hashKeyFile.empty()) {
        std::cout << Mangofall::sha256Hex(readKey(arguments->hashKeyFile)) << '\n';
        return 0;
    }
    Mangofall::SettingsReader reader(arguments->config);
    const std::optional<Mangofall::Settings> settings = reader.read();
    if (!settings) {
        std::cerr << reader.errorText();
        return exitFailure;
    }
    if (arguments->check) {
        std::cout << arguments->config << ": the settings are valid\n";
        return 0;
    }
    Mangofall::configureLogging(settings->log.level, settings->log.json);
    return runDaemon(*settings);
}
