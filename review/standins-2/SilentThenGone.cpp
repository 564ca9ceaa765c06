// Case 8: a runner removes its entry after the open connections to the store have gone silent; it must get no request later than drain_ms after that.

#include "Caller.h"
#include "Configuration.h"
#include "Fleet.h"
#include "Runner.h"
#include "SilencingProxy.h"

#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using namespace Review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

constexpr int memoryMb = 260;
constexpr int slots = 6;
constexpr int callersPerHost = 4;
constexpr Milliseconds deadline{4000};
constexpr Milliseconds workTime{150};
constexpr Milliseconds requestInterval{200};
constexpr int rounds = 6;
constexpr Milliseconds roundTime{10000};
constexpr Milliseconds settleTime{2000};
// The bounds of the sheet: contact_ms 3000, drain_ms 2000.
constexpr Milliseconds removalDelay{3100}; ///< From the loss of the connections, so that the hosts are in touch again.
constexpr Milliseconds drainTime{2000};
constexpr Milliseconds lingerTime{400}; ///< How long the runner serves beyond drain_ms.
constexpr Milliseconds tolerance{20};

class OrderRunner final : public Runner
{
public:
    OrderRunner(const RunnerPlace &place, PlatformStore &store, Record &record)
        : Runner(place, store, record)
    {
        start();
    }

    ~OrderRunner() override
    {
        stop();
    }

    /// The entry has been removed, which the store has acknowledged.
    void setGone()
    {
        m_goneAt = Clock::now().time_since_epoch().count();
    }

    int late() const
    {
        return m_late;
    }

protected:
    void received(const HttpHead &head) override
    {
        const Clock::rep gone = m_goneAt;
        std::string line = "arrives " + head.field("attempt-id") + " at " + id();
        if (gone != 0) {
            const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch() - Clock::duration(gone));
            const bool isLate = since > drainTime + tolerance;
            m_late += isLate ? 1 : 0;
            line += ", " + std::to_string(since.count()) + " ms after its entry was removed" + (isLate ? " BROKEN: DRAIN" : "");
        }
        record().write(line);
    }

    bool answer(HttpConnection &connection, const HttpHead &head) override
    {
        record().write("run " + head.field("attempt-id") + " at " + id());
        std::this_thread::sleep_for(workTime);
        return connection.socket().sendAll(answerHead(head, 200, true) + "Content-Length: 4\r\n\r\ndone");
    }

private:
    std::atomic<Clock::rep> m_goneAt = 0;
    std::atomic<int> m_late = 0;
};

nlohmann::json configuration()
{
    nlohmann::json result = exampleConfiguration();
    result["routes"].push_back({{"name", "r-puxa403"},
                                {"host", Names::hostName},
                                {"path_prefix", "/puxa403/"},
                                {"kind", "unsafe"},
                                {"timeout_ms", 2000},
                                {"target_latency_ms", 300},
                                {"priority", 2},
                                {"service", Names::plainService},
                                {"max_attempts", 1},
                                {"public", false}});
    return result;
}

}

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: SilentThenGone RECORD FOLDER\n";
        return exitCouldNotRun;
    }
    Record record(argv[1]);
    const bool trouble = troubleWanted();
    const std::vector<std::string> zones{"poa", "cwb", "fln"};
    PlatformStore store("127.0.0.1");
    store.put("op/config", configuration().dump());
    int started = 0;
    const auto newRunner = [&]() {
        const RunnerPlace place{
            "i-" + std::to_string(7000 + started), Names::plainService, zones[static_cast<std::size_t>(started) % zones.size()], "127.0.0.1", slots};
        ++started;
        return std::make_unique<OrderRunner>(place, store, record);
    };
    std::vector<std::unique_ptr<OrderRunner>> runners;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        runners.push_back(newRunner());
    }
    std::vector<std::unique_ptr<SilencingProxy>> proxies;
    std::vector<HostPlan> plans;
    for (const std::string &zone : zones) {
        proxies.push_back(std::make_unique<SilencingProxy>("127.0.0.1", store.address()));
        plans.push_back({zone, proxies.back()->address()});
    }
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    int late = 0;
    {
        Fleet fleet(plans, memoryMb, argv[2], record);
        if (!fleet.start()) {
            std::cerr << "the hosts did not become ready\n";
            return exitCouldNotRun;
        }
        std::atomic<bool> stopping = false;
        std::vector<std::thread> threads;
        for (const Address &host : fleet.callerAddresses()) {
            for (int caller = 0; caller < callersPerHost; ++caller) {
                threads.emplace_back([&, host, index = threads.size()]() {
                    for (int number = 0; !stopping; ++number) {
                        const Clock::time_point next = Clock::now() + requestInterval;
                        CallerRequest request;
                        request.id = "o" + std::to_string(index) + "n" + std::to_string(number);
                        request.hostName = Names::hostName;
                        request.path = "/puxa403/2f";
                        request.key = Names::key;
                        request.deadline = deadline;
                        request.body = "order " + request.id;
                        record.write("sent " + request.id + " to " + host.ip);
                        const CallerAnswer answer = call(host, request);
                        record.write("answered " + request.id + " status " + std::to_string(answer.status));
                        ++(answer.status == 200 && answer.end == BodyEnd::Complete ? served : failed);
                        std::this_thread::sleep_until(next);
                    }
                });
            }
        }
        std::this_thread::sleep_for(settleTime);
        for (int round = 0; round < rounds; ++round) {
            const Clock::time_point begin = Clock::now();
            record.write(trouble ? "the open connections to the store go silent" : "no disruption");
            for (const auto &proxy : proxies) {
                if (trouble) {
                    proxy->silence();
                }
            }
            std::this_thread::sleep_until(begin + removalDelay);
            // A new runner comes first, then an old one leaves.
            runners.push_back(newRunner());
            const std::unique_ptr<OrderRunner> leaving = std::move(runners.front());
            runners.erase(runners.begin());
            leaving->removeEntry();
            leaving->setGone();
            record.write("a runner has removed its entry, and goes on serving for a while");
            std::this_thread::sleep_for(drainTime + lingerTime);
            late += leaving->late();
            leaving->stop();
            record.write("the runner has ended");
            std::this_thread::sleep_until(begin + roundTime);
        }
        stopping = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    const std::string summary = "orders: " + std::to_string(served) + " served, " + std::to_string(failed)
        + " not; requests that reached a runner later than drain_ms after its entry was removed: " + std::to_string(late);
    record.write(summary);
    std::cout << summary << '\n';
    if (served == 0) {
        return exitCouldNotRun;
    }
    return late > 0 ? exitBroken : exitHeld;
}
