#include "Config/FleetGenerators.h"

#include "Config/ChangeAnswer.h"
#include "Config/FleetJson.h"
#include "Config/OperatorLists.h"
#include "Config/OperatorStatus.h"
#include "Ctl/CtlCommands.h"
#include "StandIns/HttpServer.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Mangofall;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

OperatorStatus exampleStatus(Revision slowestRevision)
{
    OperatorStatus status;
    status.hostId = HostId("a");
    status.revision = 5;
    status.presetInForce = PresetName("peak");
    status.outOfService.dataCentres.insert(DataCentreId("poa"));
    status.hosts = {{HostId("a"), DataCentreId("cwb"), "alive", 5},
                    {HostId("b"), DataCentreId("cwb"), "alive", slowestRevision},
                    {HostId("c"), DataCentreId("cwb"), "dead", 1}};
    status.upstreams = {{UpstreamId("u"), DataCentreId("cwb"), "warm", 3, 32}};
    return status;
}

/// Refuses all configurations; the commands under test check none.
class NoConfigurations final : public Check::ConfigurationSource
{
public:
    Check::ReadConfiguration read(std::string_view, std::optional<std::uint64_t>) const override
    {
        return {};
    }

    std::string pointer(const Check::ConfigurationPlace &) const override
    {
        return {};
    }

    std::optional<std::string> readInForce(const NetworkAddress &, std::string &) const override
    {
        return std::nullopt;
    }
};

const NoConfigurations noConfigurations;

/// Stand-in for the operator listener of a daemon, on its own thread. Also holds the files that the commands read.
class OperatorListener
{
public:
    OperatorListener()
        : m_server(m_context,
                   0,
                   [this](const StandIns::HttpRequest &request) {
                       return handle(request);
                   })
        , m_directory(std::filesystem::temp_directory_path() / ("mangofallctl-test-" + std::to_string(m_server.port())))
    {
        std::filesystem::create_directory(m_directory);
        write("key", "secret\n");
        m_server.start();
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    OperatorListener(const OperatorListener &) = delete;
    OperatorListener &operator=(const OperatorListener &) = delete;

    ~OperatorListener()
    {
        m_context.stop();
        m_thread.join();
        std::filesystem::remove_all(m_directory);
    }

    std::string write(const std::string &name, const std::string &text)
    {
        const std::filesystem::path file = m_directory / name;
        std::ofstream(file) << text;
        return file.string();
    }

    CtlStatus run(std::vector<std::string> words)
    {
        std::vector<std::string> arguments
            = {"mangofallctl", "--key-file", (m_directory / "key").string(), "--server", "127.0.0.1:" + std::to_string(m_server.port())};
        arguments.insert(arguments.end(), words.begin(), words.end());
        output.str({});
        errors.str({});
        return runCtl(arguments, noConfigurations, output, errors);
    }

    /// Set these before run(): the thread of the listener reads them while run() is in progress.
    ChangeAnswer answer{ChangeId("x"), ChangeResult::Accepted, 5, {}};
    bool closeWithoutAnswer = false;
    std::optional<ConfigurationChange> change; ///< The latest change received.
    int statusCalls = 0;
    std::ostringstream output;
    std::ostringstream errors;

private:
    boost::asio::awaitable<std::optional<StandIns::HttpResponse>> handle(const StandIns::HttpRequest &request)
    {
        if (request[http::field::authorization] != "Bearer secret") {
            co_return StandIns::jsonResponse(http::status::unauthorized, "{}");
        }
        const std::string target(request.target());
        if (target == "/operator/changes") {
            ConfigurationProblems problems;
            change = decodeChange(request.body(), problems);
            if (closeWithoutAnswer) {
                co_return std::nullopt;
            }
            answer.id = change.has_value() ? change->id : ChangeId("malformed");
            co_return StandIns::jsonResponse(http::status::ok, encodeChangeAnswer(answer).dump());
        }
        const std::string body = read(target);
        co_return StandIns::jsonResponse(body.empty() ? http::status::not_found : http::status::ok, body);
    }

    std::string read(const std::string &target)
    {
        if (target == "/operator/status") {
            ++statusCalls;
            return encodeOperatorStatus(exampleStatus(statusCalls > 1 ? 5 : 4)).dump();
        }
        if (target == "/operator/configuration") {
            return encodeFleetConfiguration(Testing::exampleConfiguration()).dump();
        }
        if (target == "/operator/orders" || target == "/operator/orders?state=unresolved") {
            return encodeOperatorOrders({{target.ends_with("unresolved") ? "k2" : "k1", "unknown", HostId("a"), WallTime(1s)}}).dump();
        }
        if (target == "/operator/limits") {
            return encodeOperatorLimits({{OrganisationId("kiosk"), 10, 5, 100, 50, 7, 2}}).dump();
        }
        return target == "/operator/history" ? encodeHistory({{ChangeId("c"), 5, WallTime(1s), "use preset peak"}}).dump() : std::string();
    }

    boost::asio::io_context m_context;
    StandIns::HttpServer m_server;
    std::filesystem::path m_directory;
    std::thread m_thread;
};

}

TEST_GROUP(CtlCommandsTest){};

// Guards against a command that prints nothing, prints the wrong document, or prints invalid JSON.
TEST(CtlCommandsTest, PrintsEachDocument)
{
    struct Case {
        std::vector<std::string> words;
        const char *text;
    };
    OperatorListener listener;
    for (const Case &example : {Case{{"status"}, "host b  cwb  alive"},
                                Case{{"preset", "list"}, "* ordinary"},
                                Case{{"preset", "show", "peak"}, "\"name\": \"peak\""},
                                Case{{"orders", "list"}, "k1  unknown  a  1970-01-01T00:00:01Z"},
                                Case{{"orders", "show", "k1"}, "k1"},
                                Case{{"orders", "unresolved"}, "k2"},
                                Case{{"limits"}, "kiosk  requests/s 5 of 10"},
                                Case{{"config", "history"}, "5  1970-01-01T00:00:01Z  c  use preset peak"}}) {
        CHECK_TEXT(listener.run(example.words) == CtlStatus::Success, listener.errors.str().c_str());
        CHECK_TEXT(listener.output.str().find(example.text) != std::string::npos, listener.output.str().c_str());
        std::vector<std::string> words = example.words;
        words.insert(words.begin(), "--json");
        CHECK_TEXT(listener.run(words) == CtlStatus::Success, listener.errors.str().c_str());
        CHECK_TEXT(nlohmann::json::accept(listener.output.str()), listener.output.str().c_str());
    }
    CHECK(listener.run({"orders", "show", "absent"}) == CtlStatus::Failure);
    CHECK(listener.run({"preset", "show", "absent"}) == CtlStatus::Failure);
}

// Guards against a subcommand that sends a change other than the requested one.
TEST(CtlCommandsTest, SendsTheRequestedChange)
{
    OperatorListener listener;
    const DeclaredFleet fleet = Testing::exampleFleet();
    const std::string fleetFile = listener.write("fleet.json", "// comment\n" + encodeDeclaredFleet(fleet).dump(2));
    const std::string presetFile = listener.write("preset.json", R"({"name": "night", "choices": 2})");
    Preset night;
    night.name = PresetName("night");
    night.choices = 2;
    const std::vector<std::pair<std::vector<std::string>, decltype(ConfigurationChange::action)>> cases = {
        {{"preset", "use", "peak"}, UsePreset{PresetName("peak")}},
        {{"preset", "put", presetFile}, PutPreset{night}},
        {{"drain", "datacentre", "poa"}, TakeOut{DataCentreId("poa")}},
        {{"drain", "host", "h"}, TakeOut{HostId("h")}},
        {{"drain", "upstream", "u"}, TakeOut{UpstreamId("u")}},
        {{"restore", "datacentre", "poa"}, Restore{DataCentreId("poa")}},
        {{"restore", "host", "h"}, Restore{HostId("h")}},
        {{"restore", "upstream", "u"}, Restore{UpstreamId("u")}},
        {{"apply", fleetFile}, ReplaceFleet{fleet}},
    };
    for (const auto &[words, action] : cases) {
        CHECK_TEXT(listener.run(words) == CtlStatus::Success, listener.errors.str().c_str());
        CHECK_TEXT(listener.change.has_value() && listener.change->action == action, words.front().c_str());
    }
    const std::string first = listener.change->id.value();
    listener.run({"--change-id", "again", "preset", "use", "peak"});
    CHECK(listener.change->id == ChangeId("again"));
    listener.run({"preset", "use", "peak"});
    CHECK(listener.change->id.value() != first);
}

// Guards against exit status 0 after a rejected, unresolved or malformed change, and against an error message without the id of an unresolved change.
TEST(CtlCommandsTest, ReportsUnsuccessfulChanges)
{
    OperatorListener listener;
    listener.answer = {ChangeId("x"), ChangeResult::Rejected, 0, "preset \"p\" does not exist"};
    CHECK(listener.run({"preset", "use", "p"}) == CtlStatus::Failure);
    CHECK(listener.errors.str().find("rejected: preset \"p\" does not exist") != std::string::npos);
    listener.closeWithoutAnswer = true;
    CHECK(listener.run({"preset", "use", "p"}) == CtlStatus::Failure);
    CHECK(listener.errors.str().find("--change-id " + listener.change->id.value()) != std::string::npos);
    const std::string bad = listener.write("bad.json", "{\n\"presets\": [{\"name\": \"p\", \"choices\": 0}]}");
    CHECK(listener.run({"apply", bad}) == CtlStatus::Failure);
    CHECK(listener.errors.str().find("bad.json:2: presets[0].choices: found 0") != std::string::npos);
    listener.write("key", "wrong\n");
    CHECK(listener.run({"status"}) == CtlStatus::Failure);
}

// Guards against --wait returning before the slowest live host has the change, or waiting for dead hosts.
TEST(CtlCommandsTest, WaitsForEveryLiveHost)
{
    OperatorListener listener;
    CHECK_TEXT(listener.run({"--wait", "5m", "preset", "use", "peak"}) == CtlStatus::Success, listener.errors.str().c_str());
    LONGS_EQUAL(2, listener.statusCalls);
    listener.answer.revision = 6;
    CHECK(listener.run({"--wait", "1ms", "preset", "use", "peak"}) == CtlStatus::Failure);
    CHECK(listener.errors.str().find("behind: a b") != std::string::npos);
}

// Guards against an invalid command line that exits with the status of a failure, or runs a command.
TEST(CtlCommandsTest, UsageErrorsHaveTheirOwnStatus)
{
    OperatorListener listener;
    const std::vector<std::vector<std::string>> commands = {{},
                                                            {"stat"},
                                                            {"status", "now"},
                                                            {"preset"},
                                                            {"preset", "use"},
                                                            {"preset", "use", "a b"},
                                                            {"drain", "poa"},
                                                            {"drain", "rack", "r1"},
                                                            {"drain", "host", "a/b"},
                                                            {"--wait", "5", "status"},
                                                            {"--wait", "5h", "status"},
                                                            {"--change-id", "a/b", "status"},
                                                            {"--bogus", "status"}};
    for (const std::vector<std::string> &words : commands) {
        const std::string name = words.empty() ? "nothing" : words.front();
        CHECK_TEXT(listener.run(words) == CtlStatus::UsageError, name.c_str());
        CHECK_TEXT(!listener.errors.str().empty() && listener.output.str().empty(), name.c_str());
    }
    CHECK(runCtl({"mangofallctl", "status"}, noConfigurations, listener.output, listener.errors) == CtlStatus::UsageError);
    CHECK(runCtl({"mangofallctl", "--key-file", "k", "--server", "localhost:1", "status"}, noConfigurations, listener.output, listener.errors)
          == CtlStatus::UsageError);
    CHECK(listener.run({"--help"}) == CtlStatus::Success);
}
