// Case 7: runners read large requests slowly; the memory of a host must stay within its limit.

#include "Caller.h"
#include "Configuration.h"
#include "Fleet.h"
#include "Runner.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace {

using namespace Review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

constexpr int memoryMb = 260;
constexpr int runnersPerZone = 3;
constexpr int slots = 16;
constexpr int receiveBuffer = 64 * 1024;
// Within max_body_bytes of the configuration, 4194304.
constexpr std::size_t bodyBytes = 4'000'000;
constexpr std::size_t slowReadingRate = 500'000; ///< Bytes a second, so that a body takes eight seconds.
constexpr Milliseconds workTime{60};
constexpr Milliseconds deadline{15000};
constexpr Milliseconds requestInterval{66};
constexpr std::chrono::seconds callingTime{60};
// The rule LOST: requests from kept connections, passed on to a sound runner, whose connections are closed without an answer.
constexpr int lostRequestsAllowed = 3;
// The rule Fault: processes end by themselves three times in the day, on a tenth of the machines, two at least.
constexpr int endsOfMachine = 3;
constexpr int machinesWithEnds = 2;
constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;

/// The requests that have begun to arrive at a runner.
class PassedOn
{
public:
    void add(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        m_ids.insert(id);
    }

    bool contains(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

class UploadRunner final : public Runner
{
public:
    UploadRunner(const RunnerPlace &place, PlatformStore &store, Record &record, PassedOn &passedOn, bool readsSlowly)
        : Runner(place, store, record, receiveBuffer)
        , m_passedOn(passedOn)
        , m_readsSlowly(readsSlowly)
    {
        start();
    }

    ~UploadRunner() override
    {
        stop();
    }

protected:
    std::size_t readingRate() const override
    {
        return m_readsSlowly ? slowReadingRate : 0;
    }

    void received(const HttpHead &head) override
    {
        record().write("passed on " + head.field("attempt-id") + " to " + id());
        m_passedOn.add(head.field("attempt-id"));
    }

    bool answer(HttpConnection &connection, const HttpHead &head) override
    {
        record().write("run " + head.field("attempt-id") + " at " + id());
        std::this_thread::sleep_for(workTime);
        const std::string body = "{\"attempt\":\"" + head.field("attempt-id") + "\"}";
        return connection.socket().sendAll(answerHead(head, 200, true) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

private:
    PassedOn &m_passedOn;
    const bool m_readsSlowly;
};

nlohmann::json configuration()
{
    nlohmann::json result = exampleConfiguration();
    result["routes"].push_back({{"name", "r-fi6y7z5"},
                                {"host", Names::hostName},
                                {"path_prefix", "/puxa403/"},
                                {"kind", "unsafe"},
                                {"timeout_ms", deadline.count()},
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
        std::cerr << "usage: LargeRequests RECORD FOLDER\n";
        return exitCouldNotRun;
    }
    Record record(argv[1]);
    const bool trouble = troubleWanted();
    const std::vector<std::string> zones{"poa", "cwb", "fln"};
    PlatformStore store("127.0.0.1");
    store.put("op/config", configuration().dump());
    PassedOn passedOn;
    std::vector<std::unique_ptr<UploadRunner>> runners;
    for (int index = 0; index < runnersPerZone * static_cast<int>(zones.size()); ++index) {
        const RunnerPlace place{
            "i-" + std::to_string(7000 + index), Names::plainService, zones[static_cast<std::size_t>(index) % zones.size()], "127.0.0.1", slots};
        runners.push_back(std::make_unique<UploadRunner>(place, store, record, passedOn, trouble));
    }
    Fleet fleet(oneHostInEach(zones, store.address()), memoryMb, argv[2], record);
    if (!fleet.start()) {
        std::cerr << "the hosts did not become ready\n";
        return exitCouldNotRun;
    }
    const std::string body(bodyBytes, 'x');
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> skipped = 0;
    std::vector<std::thread> threads;
    const Clock::time_point begin = Clock::now();
    for (int number = 0; Clock::now() < begin + callingTime; ++number) {
        std::this_thread::sleep_until(begin + number * requestInterval);
        threads.emplace_back([&, number]() {
            CallerConnection connection(fleet.callerAddress());
            CallerRequest request;
            request.id = "first" + std::to_string(number);
            request.hostName = Names::hostName;
            request.path = "/puxa403/2f";
            request.key = Names::key;
            request.deadline = deadline;
            request.body = "a small order";
            // The large request comes on a connection that has been used and kept.
            if (connection.call(request).status != 200) {
                ++skipped;
                return;
            }
            request.id = "large" + std::to_string(number);
            request.body = body;
            record.write("sent " + request.id);
            const CallerAnswer answer = connection.call(request);
            const bool whole = answer.status == 200 && answer.signedByRunner && answer.end == BodyEnd::Complete;
            const bool isLost = answer.status == 0 && passedOn.contains(request.id);
            std::string outcome = answer.status == 0 ? " nothing: the connection ended" : " status " + std::to_string(answer.status);
            outcome += isLost ? ", though it had been passed on BROKEN: LOST" : "";
            record.write("answered " + request.id + outcome);
            ++(whole ? answered : isLost ? lost : refused);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::vector<int> ends = fleet.ends();
    std::string summary = "large requests: " + std::to_string(answered) + " answered, " + std::to_string(lost)
        + " passed on to a runner and without an answer, " + std::to_string(refused) + " refused, failed or not passed on, " + std::to_string(skipped)
        + " not sent because the small request before failed; largest memory of a process " + std::to_string(fleet.largestMemory() / bytesPerMegabyte)
        + " MB; ends of the processes:";
    for (const int count : ends) {
        summary += " " + std::to_string(count);
    }
    record.write(summary);
    std::cout << summary << '\n';
    if (answered + lost == 0) {
        return exitCouldNotRun;
    }
    const auto broken = std::count_if(ends.begin(), ends.end(), [](int count) {
        return count >= endsOfMachine;
    });
    return broken >= machinesWithEnds || lost > lostRequestsAllowed ? exitBroken : exitHeld;
}
