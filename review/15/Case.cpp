// A host is cut off from the other hosts, but not from clients, runners and the store. Both sides give cold runners their whole rate.
#include "../stand-ins-3/Host.h"
#include "../stand-ins-3/PlatformStore.h"
#include "../stand-ins-3/Proxy.h"
#include "../stand-ins-3/Record.h"
#include "../stand-ins-3/Runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr Milliseconds contactTime{3000}; // contact_ms
constexpr Milliseconds cutTime{5500};
constexpr Milliseconds coldAfter{2000}; // From the begin of the cut.
constexpr Milliseconds coldTime{3000}; // cold_start_s
constexpr Milliseconds hearTime{1000}; // The hosts hear through the store that the runners are cold.
constexpr Milliseconds workTime{15};
constexpr double bound = 26.0 * 1.5 + 5; // cold_per_s x cold_over + cold_slack
constexpr unsigned hostCount = 6;
constexpr unsigned clientsPerHost = 10;

const char *const configuration = R"({"version":7,
"routes":[{"name":"r-status","host":"shop.example","path_prefix":"/status/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,
"service":"desk","max_attempts":2,"public":false,"sticky":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":314,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":26.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-shop"],"priority":1}]})";

// When requests arrived at each runner.
struct Arrivals {
    std::mutex mutex;
    std::map<std::string, std::vector<TimePoint>> times;
};

void answerLookup(Arrivals &arrivals, Runner &runner, Connection &connection, const Message &request)
{
    {
        const std::lock_guard lock(arrivals.mutex);
        arrivals.times[runner.id()].push_back(Clock::now());
    }
    std::this_thread::sleep_for(workTime);
    connection.write(runner.head(request, 200) + "Response-Signature: s." + field(request, "attempt-id") + "\r\nContent-Length: 2\r\n\r\nok");
}

// Sends one request after the other, each a new one, on a connection of its own.
void runClient(const Host &host, const std::string &name, const std::atomic<bool> &stopping, std::atomic<unsigned> &served, std::atomic<unsigned> &others)
{
    for (unsigned number = 0; !stopping; ++number) {
        const std::unique_ptr<Connection> connection = host.connect();
        if (connection) {
            connection->setReadTimeout(Milliseconds(5000));
            connection->write("GET /status/" + std::to_string(number) + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + name + "-" + std::to_string(number)
                              + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-of-the-shop\r\nConnection: close\r\n\r\n");
            const std::optional<Message> answer = connection->readMessage();
            ++(answer && answer->startLine.find(" 200") != std::string::npos ? served : others);
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
}

// The most arrivals in any second of the given time.
std::size_t mostInASecond(const std::vector<TimePoint> &times, TimePoint from, TimePoint to)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= std::chrono::seconds(1)) {
            ++first;
        }
        if (times[first] >= from && times[last] <= to) {
            most = std::max(most, last - first + 1);
        }
    }
    return most;
}

// The ways from each host to the others: a proxy for the port of the peers and one for that of the feed.
class Ways
{
public:
    std::string see(unsigned viewer, const std::string &key, const std::string &value)
    {
        const std::string prefix = "mangofall/hosts/front-";
        if (!key.starts_with(prefix)) {
            return value;
        }
        const unsigned target = static_cast<unsigned>(numberOf(key.substr(prefix.size())));
        nlohmann::json entry = nlohmann::json::parse(value, nullptr, false);
        if (target == viewer || !entry.is_object()) {
            return value;
        }
        for (const char *name : {"address", "feedAddress"}) {
            entry[name] = way(viewer, target, entry.value(name, ""));
        }
        return entry.dump();
    }

    // Cuts all ways between a host and the others.
    void setCut(unsigned host, bool cut)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[ends, proxy] : m_proxies) {
            if (ends.viewer == host || ends.target == host) {
                proxy->setCut(cut);
            }
        }
    }

private:
    struct Ends {
        unsigned viewer = 0;
        unsigned target = 0;
        std::string address;

        auto operator<=>(const Ends &) const = default;
    };

    std::string way(unsigned viewer, unsigned target, const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        std::unique_ptr<Proxy> &proxy = m_proxies[{viewer, target, address}];
        if (!proxy) {
            const std::size_t colon = address.rfind(':');
            proxy = std::make_unique<Proxy>(address.substr(0, colon), static_cast<std::uint16_t>(numberOf(address.substr(colon + 1))));
        }
        return proxy->address();
    }

    std::mutex m_mutex;
    std::map<Ends, std::unique_ptr<Proxy>> m_proxies;
};

CaseResult run(Record &record)
{
    const Folder folder;
    Ways ways;
    PlatformStore store(Milliseconds(20'000));
    store.put("op/config", configuration);
    Arrivals arrivals;
    const auto handler = [&arrivals](Runner &runner, Connection &connection, const Message &request) {
        answerLookup(arrivals, runner, connection, request);
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char *id : {"i-1", "i-2"}) {
        runners.push_back(std::make_unique<Runner>(Runner::Setup{id, "desk", "zone-a"}, store, handler));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (unsigned number = 1; number <= hostCount; ++number) {
        const std::string door = store.addDoor();
        store.setView(door, [&ways, number](const std::string &key, const std::string &value) {
            return ways.see(number, key, value);
        });
        hosts.push_back(std::make_unique<Host>("front-" + std::to_string(number), "zone-a", "127.0.0.7" + std::to_string(number), door, folder.path()));
        hosts.back()->start();
    }
    for (const auto &host : hosts) {
        if (!host->awaitReady(Milliseconds(15'000))) {
            record.write(host->id() + " is not ready");
            return CouldNotRun;
        }
    }
    std::atomic<bool> stopping{false};
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> others{0};
    std::vector<std::thread> clients;
    for (unsigned index = 0; index < hostCount * clientsPerHost; ++index) {
        const Host &host = *hosts[index % hostCount];
        clients.emplace_back([&, index]() {
            runClient(host, "client-" + std::to_string(index), stopping, served, others);
        });
    }
    std::this_thread::sleep_for(contactTime + Milliseconds(1000));
    bool broken = false;
    // Each host in turn, so that nobody has to know which one is the owner of the service.
    for (unsigned host = 1; host <= 2; ++host) {
        const TimePoint begin = Clock::now();
        if (withTrouble()) {
            record.write("front-" + std::to_string(host) + " is cut off from the other hosts for " + std::to_string(cutTime.count()) + " ms");
            ways.setCut(host, true);
        }
        std::this_thread::sleep_until(begin + coldAfter);
        const TimePoint coldFrom = Clock::now();
        record.write("the runners become cold for " + std::to_string(coldTime.count()) + " ms");
        for (const auto &runner : runners) {
            runner->becomeCold(coldTime);
        }
        std::this_thread::sleep_until(coldFrom + coldTime);
        for (const auto &runner : runners) {
            runner->becomeCold(Milliseconds(0));
        }
        std::this_thread::sleep_until(begin + cutTime);
        ways.setCut(host, false);
        {
            const std::lock_guard lock(arrivals.mutex);
            for (const auto &[runner, times] : arrivals.times) {
                const std::size_t most = mostInASecond(times, coldFrom + hearTime, coldFrom + coldTime);
                record.write("cold runner " + runner + ": at most " + std::to_string(most) + " requests in a second, bound " + std::to_string(bound));
                broken = broken || static_cast<double>(most) > bound;
            }
        }
        std::this_thread::sleep_for(contactTime + Milliseconds(1500));
    }
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record.write(std::to_string(served) + " requests were served, " + std::to_string(others) + " refused or failed");
    return broken ? Broken : Held;
}

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        return CouldNotRun;
    }
    Record record(argv[1]);
    try {
        const CaseResult result = run(record);
        record.write(result == Broken ? "FAILBACK is broken" : result == Held ? "FAILBACK holds" : "the case could not run");
        return result;
    } catch (const std::exception &error) {
        record.write(error.what());
        return CouldNotRun;
    }
}
