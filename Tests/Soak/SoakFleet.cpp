#include "Soak/SoakFleet.h"

#include "JsonFields.h"
#include "Soak/SoakNames.h"
#include "Soak/SoakOptions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::chrono::milliseconds processCheckInterval{20};
constexpr std::chrono::milliseconds readinessInterval{500};
constexpr std::chrono::milliseconds readinessTimeout{400};
constexpr std::size_t dataCentres = 3;
// After a restore upstreams list themselves again within two seconds, and the entries of those that are gone are removed after three heartbeats (3.6 s).
constexpr std::chrono::milliseconds relistTime{1500};
constexpr std::chrono::milliseconds removalTime{2100};
constexpr unsigned httpVersion = 11;

std::string dataCentre(std::size_t index)
{
    return "dc" + std::to_string(index % dataCentres);
}

json route(const std::string &name, const char *kind, const char *service)
{
    json result = json::object();
    result["name"] = name;
    result["host"] = Names::hostName;
    result["path_prefix"] = "/" + name + "/";
    result["kind"] = kind;
    result["service"] = service;
    result["timeout_ms"] = 4000;
    result["target_latency_ms"] = 400;
    result["max_attempts"] = 2;
    result["resumable"] = true;
    result["gap_aim_ms"] = 250;
    return result;
}

json engineParameters()
{
    return {{"slots", 16},
            {"kv_capacity", 405'000},
            {"stride", 34},
            {"step_ms", 0.4},
            {"per_seq_ms", 0.001},
            {"context_per_k", 0.002},
            {"read_per_s", 154'000.0},
            {"pairs_per_m", 0.162},
            {"chunk", 2048}};
}

}

SoakFleet::SoakFleet(Asio::io_context &io, const SoakOptions &options, RunLedger &ledger)
    : m_io(io)
    , m_store(io, [this](const std::string &key, std::string value) {
        return replacePeerAddress(key, std::move(value));
    })
{
    m_hosts.reserve(options.hosts);
    for (std::size_t index = 0; index < options.hosts; ++index) {
        m_hosts.push_back(std::make_unique<SoakHost>(io, SoakHost::Setup{index, options.program, options.folder, m_store.port()}, ledger));
    }
    m_upstreams.reserve(options.engines + options.plainUpstreams);
    for (std::size_t index = 0; index < options.engines; ++index) {
        m_upstreams.push_back(std::make_unique<SoakUpstream>(io, "engine" + std::to_string(index), Names::engineService, dataCentre(index), m_store, ledger));
    }
    for (std::size_t index = 0; index < options.plainUpstreams; ++index) {
        m_upstreams.push_back(std::make_unique<SoakUpstream>(io, "plain" + std::to_string(index), Names::plainService, dataCentre(index), m_store, ledger));
    }
    for (const std::unique_ptr<SoakUpstream> &upstream : m_upstreams) {
        upstream->setCrashHandler([this]() {
            recordFaultChange();
        });
    }
}

void SoakFleet::start()
{
    writeConfiguration();
    for (const auto &host : m_hosts) {
        host->start();
        Asio::co_spawn(m_io, watchReadiness(*host), Asio::detached);
    }
    Asio::co_spawn(m_io, watchProcesses(), Asio::detached);
    recordFaultChange();
}

void SoakFleet::recordFaultChange()
{
    m_lastFaultChange = Clock::now();
}

std::vector<std::unique_ptr<SoakHost>> &SoakFleet::hosts()
{
    return m_hosts;
}

std::vector<std::unique_ptr<SoakUpstream>> &SoakFleet::upstreams()
{
    return m_upstreams;
}

SoakStore &SoakFleet::store()
{
    return m_store;
}

void SoakFleet::saveStore()
{
    constexpr int writes = 200;
    m_store.saveCopy();
    for (int number = 0; number < writes; ++number) {
        m_store.put("other/key", std::to_string(number));
    }
}

void SoakFleet::writeConfiguration()
{
    ++m_configurationVersion;
    m_store.put("op/config", configuration());
}

void SoakFleet::checkAgreement(RunLedger &ledger) const
{
    const std::string adopted = "\"version\":\"" + std::to_string(m_configurationVersion) + "\"";
    std::set<std::uint64_t> leases;
    for (const auto &host : m_hosts) {
        if (!host->hasLogged(adopted)) {
            ledger.reportViolation(host->id() + " has not put the last configuration in force");
        }
        const std::uint64_t lease = m_store.leaseOf("mangofall/hosts/" + host->id());
        if (lease == 0 || !leases.insert(lease).second) {
            ledger.reportViolation(host->id() + " is not listed under a lease of its own");
        }
    }
}

void SoakFleet::restoreStore()
{
    m_store.restoreCopy();
    Asio::co_spawn(m_io, writeAfterRestore(), Asio::detached);
}

Asio::awaitable<void> SoakFleet::writeAfterRestore()
{
    Asio::steady_timer timer(m_io, relistTime);
    co_await timer.async_wait(awaitTuple);
    writeConfiguration();
    for (const auto &upstream : m_upstreams) {
        upstream->relist();
    }
    timer.expires_after(removalTime);
    co_await timer.async_wait(awaitTuple);
    std::vector<std::string> gone = m_store.keys("servers/");
    std::erase_if(gone, [this](const std::string &key) {
        return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) {
            return key == "servers/" + upstream->id();
        });
    });
    for (const std::string &key : gone) {
        m_store.remove(key);
    }
}

std::size_t SoakFleet::pickHost(RandomEngine &random) const
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index]->inRotation()) {
            ready.push_back(index);
        }
    }
    const std::size_t count = ready.empty() ? m_hosts.size() : ready.size();
    const std::size_t drawn = std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    return ready.empty() ? drawn : ready[drawn];
}

bool SoakFleet::wasFaultFree(std::size_t host, TimePoint time) const
{
    const bool upstreamsHealthy = std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const auto &upstream) {
        return upstream->isHealthy();
    });
    const TimePoint latestAllowedFault = time - stabilisationTime;
    return upstreamsHealthy && m_lastFaultChange <= latestAllowedFault && m_hosts[host]->faultFreeSince() <= latestAllowedFault;
}

Asio::awaitable<void> SoakFleet::watchProcesses()
{
    while (true) {
        for (const auto &host : m_hosts) {
            host->checkProcess(Clock::now());
        }
        Asio::steady_timer timer(m_io, processCheckInterval);
        co_await timer.async_wait(awaitTuple);
    }
}

Asio::awaitable<void> SoakFleet::watchReadiness(SoakHost &host)
{
    const NetworkAddress address = host.readinessAddress();
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(address.address), address.port);
    while (true) {
        boost::beast::tcp_stream stream(m_io);
        stream.expires_after(readinessTimeout);
        bool ready = false;
        const auto [connectError] = co_await stream.async_connect(endpoint, awaitTuple);
        if (!connectError) {
            Http::request<Http::empty_body> request(Http::verb::get, "/v1/ready", httpVersion);
            request.set(Http::field::host, "host");
            const auto [writeError, written] = co_await Http::async_write(stream, request, awaitTuple);
            boost::beast::flat_buffer buffer;
            SoakStore::Response response;
            const auto [readError, read] = co_await Http::async_read(stream, buffer, response, awaitTuple);
            ready = !writeError && !readError && response.result() == Http::status::ok;
        }
        host.recordReadiness(ready);
        Asio::steady_timer timer(m_io, readinessInterval);
        co_await timer.async_wait(awaitTuple);
    }
}

std::string SoakFleet::configuration() const
{
    json document = json::object();
    document["version"] = m_configurationVersion;
    document["routes"] = json::array();
    document["routes"].push_back(route("stream", "streaming", Names::engineService));
    document["routes"].push_back(route("once", "unsafe", Names::plainService));
    document["routes"].push_back(route("repeatable", "safe", Names::plainService));
    json engines = json::object();
    engines["name"] = Names::engineService;
    engines["engine"] = engineParameters();
    engines["cold_per_s"] = coldRequestsPerSecond;
    json plain = json::object();
    plain["name"] = Names::plainService;
    plain["cold_per_s"] = coldRequestsPerSecond;
    document["services"] = json::array();
    document["services"].push_back(engines);
    document["services"].push_back(plain);
    json organisation = json::object();
    organisation["name"] = Names::organisation;
    organisation["api_keys"] = json::array();
    organisation["api_keys"].push_back(Names::credential);
    document["tenants"] = json::array();
    document["tenants"].push_back(organisation);
    return document.dump();
}

// Replaces the addresses in the host list entry of a host by those of its proxies, so that peers connect through the proxy.
std::string SoakFleet::replacePeerAddress(const std::string &key, std::string value) const
{
    for (const auto &host : m_hosts) {
        if (key != "mangofall/hosts/" + host->id()) {
            continue;
        }
        json entry = json::parse(value, nullptr, false);
        if (entry.is_object()) {
            entry["address"] = "127.0.0.1:" + std::to_string(host->peerAddress().port);
            entry["feedAddress"] = "127.0.0.1:" + std::to_string(host->feedAddress().port);
            return entry.dump();
        }
    }
    return value;
}

}
