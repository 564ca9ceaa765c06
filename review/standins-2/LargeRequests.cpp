// Case 7: runners read large requests slowly; the memory of a host must stay within its limit.

#include "Caller.h"
#include "Configuration.h"
#include "Fleet.h"
#include "Runner.h"

#include <algorithm>
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
// The rule Fault: processes end by themselves three times in the day, on a tenth of the machines, two at least.
constexpr int endsOfMachine = 3;
constexpr int machinesWithEnds = 2;
constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;

class UploadRunner final : public Runner
{
public:
    UploadRunner(const RunnerPlace &place, PlatformStore &store, Record &record, bool readsSlowly)
        : Runner(place, store, record, receiveBuffer)
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

    bool answer(HttpConnection &connection, const HttpHead &head) override
    {
        record().write("run " + head.field("attempt-id") + " at " + id());
        std::this_thread::sleep_for(workTime);
        const std::string body = "{\"attempt\":\"" + head.field("attempt-id") + "\"}";
        return connection.socket().sendAll(answerHead(head, 200, true) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

private:
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
    std::vector<std::unique_ptr<UploadRunner>> runners;
    for (int index = 0; index < runnersPerZone * static_cast<int>(zones.size()); ++index) {
        const RunnerPlace place{
            "i-" + std::to_string(7000 + index), Names::plainService, zones[static_cast<std::size_t>(index) % zones.size()], "127.0.0.1", slots};
        runners.push_back(std::make_unique<UploadRunner>(place, store, record, trouble));
    }
    Fleet fleet(zones, store.address(), memoryMb, argv[2], record);
    if (!fleet.start()) {
        std::cerr << "the hosts did not become ready\n";
        return exitCouldNotRun;
    }
    const std::string body(bodyBytes, 'x');
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    const Clock::time_point begin = Clock::now();
    for (int number = 0; Clock::now() < begin + callingTime; ++number) {
        std::this_thread::sleep_until(begin + number * requestInterval);
        threads.emplace_back([&, number]() {
            CallerRequest request;
            request.id = "u" + std::to_string(number);
            request.hostName = Names::hostName;
            request.path = "/puxa403/2f";
            request.key = Names::key;
            request.deadline = deadline;
            request.body = body;
            record.write("sent " + request.id);
            const CallerAnswer answer = call(fleet.callerAddress(), request);
            const bool whole = answer.status == 200 && answer.signedByRunner && answer.end == BodyEnd::Complete;
            record.write("answered " + request.id
                         + (answer.status == 0 ? std::string(" nothing: the connection ended") : " status " + std::to_string(answer.status)));
            ++(whole ? answered : answer.status == 0 ? lost : refused);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::vector<int> ends = fleet.ends();
    std::string summary = "requests: " + std::to_string(answered) + " answered, " + std::to_string(refused) + " refused or failed, " + std::to_string(lost)
        + " without any answer; largest memory of a process " + std::to_string(fleet.largestMemory() / bytesPerMegabyte) + " MB; ends of the processes:";
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
    return broken >= machinesWithEnds ? exitBroken : exitHeld;
}
