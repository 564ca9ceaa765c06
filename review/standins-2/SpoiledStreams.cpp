// Case 6: runners spoil some of their streams behind sound events; callers must get every piece or see that the stream is not complete.

#include "Caller.h"
#include "Configuration.h"
#include "Fleet.h"
#include "Runner.h"

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
constexpr int runnersPerZone = 2;
constexpr int slots = 16;
constexpr int callers = 84;
constexpr std::uint64_t eventsPerStream = 8;
constexpr std::uint64_t tokensPerEvent = 34;
constexpr Milliseconds firstEventTime{20};
constexpr Milliseconds eventInterval{45};
constexpr Milliseconds streamDeadline{10000};
constexpr std::chrono::seconds callingTime{30};
// The largest dose of the sheet for runners that spoil answers: a share of 0.35 of the runners, 0.0271 of their answers, for 5.5 s.
constexpr int spoilingRunners = 2;
constexpr int answersPerSpoiledOne = 37;
constexpr Milliseconds spoilingTime{5500};
constexpr Milliseconds spoilingPeriod{11000};
constexpr Milliseconds spoilingBegin{1000};
constexpr std::uint64_t spoiledEvent = 4;
constexpr const char *spoiledBytes = "\x15\x03\x01 these bytes are no event\n\n";

/// Since when callers call; empty before.
std::atomic<Clock::rep> callingSince = 0;

bool isSpoilingTime()
{
    const Clock::rep since = callingSince;
    const auto time = std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch() - Clock::duration(since));
    return since != 0 && time >= spoilingBegin && (time - spoilingBegin) % spoilingPeriod < spoilingTime;
}

/// How a stream is framed. The pages allow both.
enum class Framing {
    Chunks,
    EndOfConnection,
};

class StreamRunner final : public Runner
{
public:
    StreamRunner(const RunnerPlace &place, PlatformStore &store, Record &record, bool spoils)
        : Runner(place, store, record)
        , m_spoils(spoils)
    {
        start();
    }

    ~StreamRunner() override
    {
        stop();
    }

    int spoiled() const
    {
        return m_spoiled;
    }

protected:
    bool answer(HttpConnection &connection, const HttpHead &head) override
    {
        const std::string attempt = head.field("attempt-id");
        const std::uint64_t after = std::strtoull(head.field("last-event-id").c_str(), nullptr, 10);
        const bool spoil = after == 0 && spoilsNow();
        // Every other spoiled stream has neither a length nor chunks.
        const Framing framing = spoil && m_spoiled % 2 == 0 ? Framing::EndOfConnection : Framing::Chunks;
        record().write("run " + attempt + " at " + id() + " after event " + std::to_string(after) + (spoil ? ", to be spoiled" : ""));
        std::string bytes = answerHead(head, 200, true) + "Content-Type: text/event-stream\r\n";
        bytes += framing == Framing::Chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n";
        std::this_thread::sleep_for(firstEventTime);
        for (std::uint64_t event = after + 1; event <= eventsPerStream; ++event) {
            const bool spoilHere = spoil && event == spoiledEvent;
            std::string piece = "id: " + std::to_string(event) + "\ndata: " + attempt + "/" + std::to_string(event) + "\n\n";
            // Behind the sound event, in the same write.
            piece += spoilHere ? spoiledBytes : "";
            bytes += framing == Framing::Chunks ? chunk(piece) : piece;
            if (!connection.socket().sendAll(bytes)) {
                return false;
            }
            if (spoilHere) {
                record().write("spoiled " + attempt + " at " + id() + " behind event " + std::to_string(event)
                               + (framing == Framing::Chunks ? ", in chunks" : ", without length or chunks"));
                return false;
            }
            bytes.clear();
            std::this_thread::sleep_for(eventInterval);
        }
        return connection.socket().sendAll("0\r\n\r\n");
    }

private:
    bool spoilsNow()
    {
        if (!m_spoils || !isSpoilingTime() || ++m_answers % answersPerSpoiledOne != 0) {
            return false;
        }
        ++m_spoiled;
        return true;
    }

    const bool m_spoils;
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_spoiled = 0;
};

nlohmann::json configuration()
{
    nlohmann::json result = exampleConfiguration();
    result["routes"].push_back({{"name", "r-2yhvz3p"},
                                {"host", Names::hostName},
                                {"path_prefix", "/lohu930/"},
                                {"kind", "streaming"},
                                {"timeout_ms", 10000},
                                {"target_latency_ms", 300},
                                {"gap_aim_ms", 250},
                                {"priority", 1},
                                {"service", Names::modelService},
                                {"max_attempts", 2},
                                {"public", false},
                                {"sticky", true},
                                {"resumable", true}});
    return result;
}

struct Verdict {
    std::atomic<int> complete = 0;
    std::atomic<int> incomplete = 0; ///< Refused, failed, or visibly broken off.
    std::atomic<int> broken = 0; ///< Complete in form, but with a piece missing or twice.
};

void callOnce(Fleet &fleet, Record &record, Verdict &verdict, const std::string &id)
{
    CallerRequest request;
    request.id = id;
    request.hostName = Names::hostName;
    request.path = "/lohu930/2f";
    request.key = Names::key;
    request.deadline = streamDeadline;
    request.extraFields
        = "Model: m\r\nToken-Counts: 1460," + std::to_string(eventsPerStream * tokensPerEvent) + "\r\nPrompt-Prefix: 5c1e07a2:40," + id + ":1420\r\n";
    request.body = "prompt of " + id;
    record.write("sent " + id);
    const CallerAnswer answer = call(fleet.callerAddress(), request);
    const std::vector<std::uint64_t> ids = eventIds(answer.body);
    const bool success = answer.status == 200 && answer.signedByRunner && answer.end == BodyEnd::Complete;
    bool whole = ids.size() == eventsPerStream;
    for (std::size_t index = 0; whole && index < ids.size(); ++index) {
        whole = ids[index] == index + 1;
    }
    // A stream may break off, but what has come must be without gaps.
    bool gapless = true;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        gapless = gapless && ids[index] == index + 1;
    }
    const bool broken = answer.status == 200 && (!gapless || (success && !whole));
    record.write("answered " + id + " status " + std::to_string(answer.status) + (success ? " complete" : " not complete") + " events " + describeIds(ids)
                 + (broken ? " BROKEN: ORDER" : ""));
    ++(broken ? verdict.broken : success ? verdict.complete : verdict.incomplete);
}

}

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: spoiled-streams RECORD FOLDER\n";
        return exitCouldNotRun;
    }
    Record record(argv[1]);
    const bool trouble = troubleWanted();
    const std::vector<std::string> zones{"poa", "cwb", "fln"};
    PlatformStore store("127.0.0.1");
    store.put("op/config", configuration().dump());
    std::vector<std::unique_ptr<StreamRunner>> runners;
    for (int index = 0; index < runnersPerZone * static_cast<int>(zones.size()); ++index) {
        const RunnerPlace place{
            "i-" + std::to_string(7000 + index), Names::modelService, zones[static_cast<std::size_t>(index) % zones.size()], "127.0.0.1", slots};
        runners.push_back(std::make_unique<StreamRunner>(place, store, record, trouble && index < spoilingRunners));
    }
    Fleet fleet(oneHostInEach(zones, store.address()), memoryMb, argv[2], record);
    if (!fleet.start()) {
        std::cerr << "the hosts did not become ready\n";
        return exitCouldNotRun;
    }
    Verdict verdict;
    std::vector<std::thread> threads;
    callingSince = Clock::now().time_since_epoch().count();
    const Clock::time_point end = Clock::now() + callingTime;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller]() {
            for (int number = 0; Clock::now() < end; ++number) {
                callOnce(fleet, record, verdict, "c" + std::to_string(caller) + "n" + std::to_string(number));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int spoiled = 0;
    for (const auto &runner : runners) {
        spoiled += runner->spoiled();
    }
    const std::string summary = "streams: " + std::to_string(verdict.complete) + " whole, " + std::to_string(verdict.incomplete) + " not complete, "
        + std::to_string(verdict.broken) + " with a piece missing or twice; answers that runners spoiled: " + std::to_string(spoiled);
    record.write(summary);
    std::cout << summary << '\n';
    if (verdict.complete == 0 || (trouble && spoiled == 0)) {
        return exitCouldNotRun;
    }
    return verdict.broken > 0 ? exitBroken : exitHeld;
}
