// Case 10: the open connections to the store go silent while new ones work; a configuration must still be in force in time.

#include "Caller.h"
#include "Configuration.h"
#include "Fleet.h"
#include "Runner.h"
#include "SilencingProxy.h"

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace Review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

constexpr int memoryMb = 260;
constexpr int hostsPerZone = 2;
constexpr int runnersPerZone = 3;
constexpr int slots = 16;
constexpr Milliseconds deadline{4000};
constexpr Milliseconds workTime{5};
constexpr Milliseconds requestInterval{40};
constexpr int rounds = 8;
// Longer than contact_ms and config_ms together, so that each round begins with a stable core and hosts in touch.
constexpr Milliseconds roundTime{8000};
constexpr Milliseconds roundBegin{2000};
constexpr Milliseconds changeDelay{200}; ///< From the loss of the connections to the change of the configuration.
// The bounds of the sheet.
constexpr Milliseconds contactTime{3000};
constexpr Milliseconds configurationTime{2000};
// The clocks of the check are those of one process; this is for the way from the caller's call to the send.
constexpr Milliseconds tolerance{20};

constexpr const char *firstService = "wuno96b";
constexpr const char *secondService = "vato37c";

class ShortRunner final : public Runner
{
public:
    ShortRunner(const RunnerPlace &place, PlatformStore &store, Record &record)
        : Runner(place, store, record)
        , m_service(place.service)
    {
        start();
    }

    ~ShortRunner() override
    {
        stop();
    }

protected:
    bool answer(HttpConnection &connection, const HttpHead &head) override
    {
        std::this_thread::sleep_for(workTime);
        return connection.socket().sendAll(answerHead(head, 200, true) + "Content-Length: " + std::to_string(m_service.size()) + "\r\n\r\n" + m_service);
    }

private:
    std::string m_service;
};

std::string configuration(int version, const std::string &service)
{
    nlohmann::json result = exampleConfiguration();
    result["version"] = version;
    nlohmann::json second = result["services"].at(1);
    second["name"] = secondService;
    result["services"].push_back(second);
    result["routes"].push_back({{"name", "r-cufi504"},
                                {"host", Names::hostName},
                                {"path_prefix", "/cufi504/"},
                                {"kind", "safe"},
                                {"timeout_ms", 2000},
                                {"target_latency_ms", 300},
                                {"priority", 2},
                                {"service", service},
                                {"max_attempts", 2},
                                {"public", false}});
    return result.dump();
}

/// What the operator and the disruption have done last.
struct Round {
    Clock::time_point lostAt; ///< When the connections went silent.
    Clock::time_point acknowledgedAt;
    std::string oldService;
};

class Check
{
public:
    explicit Check(Record &record)
        : m_record(record)
    {
    }

    void begin(const Round &round)
    {
        const std::scoped_lock lock(m_mutex);
        m_round = round;
    }

    void answered(const std::string &id, const std::string &host, Clock::time_point sentAt, const CallerAnswer &answer)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_answers;
        if (answer.status != 200 || answer.end != BodyEnd::Complete) {
            m_record.write("answered " + id + " by " + host + " status " + std::to_string(answer.status));
            return;
        }
        ++m_successes;
        const bool inTouch = sentAt >= m_round.lostAt + contactTime + tolerance;
        const bool due = sentAt >= m_round.acknowledgedAt + configurationTime + tolerance;
        const bool stale = answer.body == m_round.oldService && due;
        std::string line = "answered " + id + " by " + host + ", run by service " + answer.body;
        if (stale) {
            const auto sinceLoss = std::chrono::duration_cast<Milliseconds>(sentAt - m_round.lostAt);
            const auto sinceAcknowledged = std::chrono::duration_cast<Milliseconds>(sentAt - m_round.acknowledgedAt);
            line += ", the old one; sent " + std::to_string(sinceAcknowledged.count()) + " ms after the acknowledgement, " + std::to_string(sinceLoss.count())
                + " ms after the loss" + (inTouch ? " BROKEN: CONFIG" : ", not in touch");
        }
        if (stale && inTouch) {
            ++m_broken;
            ++m_brokenOfHost[host];
        }
        m_record.write(line);
    }

    int successes() const
    {
        return m_successes;
    }

    int broken() const
    {
        return m_broken;
    }

    std::string summary() const
    {
        std::ostringstream text;
        text << "requests: " << m_answers << " answered, " << m_successes << " with success, " << m_broken
             << " run by the old service although the host was in touch and the time was over";
        for (const auto &[host, count] : m_brokenOfHost) {
            text << "; " << host << " " << count;
        }
        return text.str();
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    Round m_round;
    int m_answers = 0;
    int m_successes = 0;
    int m_broken = 0;
    std::map<std::string, int> m_brokenOfHost;
};

void callHost(const Address &host, Check &check, Record &record, const std::atomic<bool> &stopping, int caller)
{
    Clock::time_point next = Clock::now();
    for (int number = 0; !stopping; ++number) {
        CallerRequest request;
        request.id = "h" + std::to_string(caller) + "n" + std::to_string(number);
        request.method = "GET";
        request.hostName = Names::hostName;
        request.path = "/cufi504/2f";
        request.key = Names::key;
        request.deadline = deadline;
        record.write("sent " + request.id);
        const Clock::time_point sentAt = Clock::now();
        const CallerAnswer answer = call(host, request);
        check.answered(request.id, host.ip, sentAt, answer);
        next += requestInterval;
        std::this_thread::sleep_until(next);
    }
}

}

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: SilentStoreConnections RECORD FOLDER\n";
        return exitCouldNotRun;
    }
    Record record(argv[1]);
    const bool trouble = troubleWanted();
    const std::vector<std::string> zones{"poa", "cwb", "fln"};
    PlatformStore store("127.0.0.1");
    int version = 7;
    std::string present = firstService;
    std::string other = secondService;
    store.put("op/config", configuration(version, present));
    std::vector<std::unique_ptr<ShortRunner>> runners;
    for (const char *service : {firstService, secondService}) {
        for (int index = 0; index < runnersPerZone * static_cast<int>(zones.size()); ++index) {
            const std::string id = "i-" + std::to_string(7000 + runners.size());
            runners.push_back(std::make_unique<ShortRunner>(
                RunnerPlace{id, service, zones[static_cast<std::size_t>(index) % zones.size()], "127.0.0.1", slots}, store, record));
        }
    }
    std::vector<std::unique_ptr<SilencingProxy>> proxies;
    std::vector<HostPlan> plans;
    for (int index = 0; index < hostsPerZone * static_cast<int>(zones.size()); ++index) {
        proxies.push_back(std::make_unique<SilencingProxy>("127.0.0.1", store.address()));
        plans.push_back({zones[static_cast<std::size_t>(index) % zones.size()], proxies.back()->address()});
    }
    Check check(record);
    {
        Fleet fleet(plans, memoryMb, argv[2], record);
        if (!fleet.start()) {
            std::cerr << "the hosts did not become ready\n";
            return exitCouldNotRun;
        }
        std::atomic<bool> stopping = false;
        std::vector<std::thread> threads;
        for (const Address &host : fleet.callerAddresses()) {
            threads.emplace_back([&, host, caller = static_cast<int>(threads.size())]() {
                callHost(host, check, record, stopping, caller);
            });
        }
        std::this_thread::sleep_for(roundBegin);
        for (int round = 0; round < rounds; ++round) {
            const Clock::time_point begin = Clock::now();
            record.write(trouble ? "the open connections to the store go silent" : "no disruption");
            for (const auto &proxy : proxies) {
                if (trouble) {
                    proxy->silence();
                }
            }
            std::this_thread::sleep_for(changeDelay);
            store.put("op/config", configuration(++version, other));
            std::swap(present, other);
            record.write("version " + std::to_string(version) + " is acknowledged: the route goes to service " + present);
            check.begin({trouble ? begin : Clock::time_point(), Clock::now(), other});
            std::this_thread::sleep_until(begin + roundTime);
        }
        stopping = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    record.write(check.summary());
    std::cout << check.summary() << '\n';
    if (check.successes() == 0) {
        return exitCouldNotRun;
    }
    return check.broken() > 0 ? exitBroken : exitHeld;
}
