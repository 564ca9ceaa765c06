// A part of long prompts crashes each runner that begins to answer on it. It is behind the first 64 parts.
#include "../stand-ins-3/Host.h"
#include "../stand-ins-3/PlatformStore.h"
#include "../stand-ins-3/Record.h"
#include "../stand-ins-3/Runner.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr Milliseconds contactTime{3000}; // contact_ms
constexpr Milliseconds runTime{45'000};
constexpr Milliseconds calmTime{5000}; // Without harmful requests, for the comparison.
constexpr Milliseconds prefillTime{150};
constexpr Milliseconds eventInterval{60};
constexpr std::uint64_t events = 12;
constexpr Milliseconds downTime{3000}; // A runner that crashed is back after some seconds.
constexpr Milliseconds soundInterval{60};
constexpr Milliseconds harmfulInterval{700};
constexpr std::size_t toleratedCrashes = 5;
constexpr std::size_t toleratedRuns = 3;
constexpr unsigned leastSample = 20;
constexpr unsigned runnerCount = 4;
constexpr const char *harmfulPart = "dead0001";

const char *const configuration = R"({"version":7,
"routes":[{"name":"r-chat","host":"shop.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1500,"priority":1,
"service":"engines","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":600}],
"services":[{"name":"engines","health_path":"/health","max_connections":234,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,
"engine":{"slots":16,"kv_capacity":405000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,
"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,
"loads_at_once":8,"delays":[],"usual":{"prompt":11316,"answer":1266},"hop_ms":0.1}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-shop"],"priority":1}]})";

// What the runners have seen.
struct Seen {
    std::mutex mutex;
    std::vector<TimePoint> crashes;
    std::vector<std::string> lateRuns; ///< Harmful requests that arrived later than contact_ms after the fifth crash.
    std::set<std::string> begun; ///< Sound requests that a runner began to answer at the first run.
    std::set<std::string> arrived; ///< All requests that have reached a runner.
};

// The number of parts before the harmful one; PARTS sets another one.
unsigned partsBefore()
{
    const char *value = std::getenv("PARTS");
    return value == nullptr ? 66 : static_cast<unsigned>(std::strtoul(value, nullptr, 10));
}

constexpr unsigned earlyPartTokens = 40;
constexpr unsigned lastSharedPartTokens = 200;
constexpr unsigned ownPartTokens = 400;

// A session of many turns: its earlier parts are shared, the last one is the request's own.
std::string promptPrefix(const std::string &attempt, bool harmful)
{
    std::string text;
    for (unsigned part = 0; part < partsBefore(); ++part) {
        text += "c0ffee" + std::to_string(100 + part) + ":" + std::to_string(earlyPartTokens) + ",";
    }
    text += std::string(harmful ? harmfulPart : "50d0001") + ":" + std::to_string(lastSharedPartTokens) + ",";
    return text + "f" + std::to_string(std::hash<std::string>()(attempt) % 100'000'000) + ":" + std::to_string(ownPartTokens);
}

unsigned promptTokens()
{
    return partsBefore() * earlyPartTokens + lastSharedPartTokens + ownPartTokens;
}

bool isHarmful(const Message &request)
{
    return field(request, "prompt-prefix").find(harmfulPart) != std::string::npos;
}

void answerStream(Record &record, Seen &seen, Runner &runner, Connection &connection, const Message &request)
{
    const std::string attempt = field(request, "attempt-id");
    const TimePoint arrived = Clock::now();
    bool isFirstRun = false;
    {
        const std::lock_guard lock(seen.mutex);
        isFirstRun = seen.arrived.insert(attempt).second;
    }
    std::this_thread::sleep_for(prefillTime);
    if (isHarmful(request) && withTrouble()) {
        const std::lock_guard lock(seen.mutex);
        const bool late = seen.crashes.size() >= toleratedCrashes && arrived > seen.crashes[toleratedCrashes - 1] + contactTime;
        if (late) {
            seen.lateRuns.push_back(attempt);
        }
        seen.crashes.push_back(Clock::now());
        record.write(runner.id() + " crashes, as it begins to write on the harmful part of " + attempt + ": crash " + std::to_string(seen.crashes.size())
                     + (late ? ", late" : ""));
        runner.crash(downTime);
        return;
    }
    std::string bytes
        = runner.head(request, 200) + "Response-Signature: s." + attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t event = numberOf(field(request, "last-event-id")) + 1; event <= events; ++event) {
        bytes += chunk("id: " + std::to_string(event) + "\ndata: " + attempt + "/" + std::to_string(event) + "\n\n");
        if (!connection.write(bytes)) {
            return;
        }
        if (isFirstRun && !isHarmful(request)) {
            const std::lock_guard lock(seen.mutex);
            seen.begun.insert(attempt);
        }
        bytes.clear();
        std::this_thread::sleep_for(eventInterval);
    }
    connection.write("0\r\n\r\n");
}

struct Counts {
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> complete{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> brokenOff{0};
    std::atomic<unsigned> failed{0};
};

void send(Record &record, const Host &host, const std::string &attempt, bool harmful, Counts &counts)
{
    ++counts.sent;
    const std::unique_ptr<Connection> connection = host.connect();
    if (!connection) {
        ++counts.failed;
        return;
    }
    connection->setReadTimeout(Milliseconds(11'000));
    const std::string body = "turn of " + attempt;
    connection->write("POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                      + "\r\nModel: m\r\nToken-Counts: " + std::to_string(promptTokens()) + ",400\r\nPrompt-Prefix: " + promptPrefix(attempt, harmful)
                      + "\r\nDeadline-Ms: 10000\r\nAuthorization: Token key-of-the-shop\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                      + "\r\n\r\n" + body);
    const std::optional<Message> head = connection->readHead();
    const std::string status = head ? head->startLine.substr(9, 3) : "none";
    if (status == "503") {
        ++counts.refused;
    } else if (status != "200") {
        ++counts.failed;
    } else {
        std::optional<std::string> part;
        while ((part = connection->readChunk()) && !part->empty()) {
        }
        ++(part ? counts.complete : counts.brokenOff);
        if (!part && !harmful) {
            record.write("client of " + attempt + ", a sound request: the connection is closed inside the answer");
        }
    }
    if (harmful) {
        record.write("client of " + attempt + ", a harmful request: " + status);
    }
}

struct Sent {
    std::string attempt;
    TimePoint at;
};

// The share of the sound requests sent in that time that a runner began to answer at the first run.
struct Share {
    unsigned sent = 0;
    unsigned begun = 0;

    double value() const
    {
        return sent == 0 ? 0 : static_cast<double>(begun) / sent;
    }
};

Share shareBegun(const std::vector<Sent> &requests, const std::set<std::string> &begun, TimePoint from, TimePoint to)
{
    Share share;
    for (const Sent &request : requests) {
        if (request.at >= from && request.at < to) {
            ++share.sent;
            share.begun += begun.contains(request.attempt) ? 1 : 0;
        }
    }
    return share;
}

std::string describe(const Share &share)
{
    return std::to_string(share.begun) + " of " + std::to_string(share.sent);
}

std::string describe(const Counts &counts)
{
    return std::to_string(counts.sent) + " sent, " + std::to_string(counts.complete) + " complete, " + std::to_string(counts.refused) + " refused, "
        + std::to_string(counts.brokenOff) + " broken off, " + std::to_string(counts.failed) + " failed";
}

CaseResult run(Record &record)
{
    const Folder folder;
    PlatformStore store(Milliseconds(20'000));
    store.put("op/config", configuration);
    Seen seen;
    const auto handler = [&](Runner &runner, Connection &connection, const Message &request) {
        answerStream(record, seen, runner, connection, request);
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (unsigned index = 0; index < runnerCount; ++index) {
        runners.push_back(std::make_unique<Runner>(Runner::Setup{"i-" + std::to_string(index), "engines", "zone-a"}, store, handler));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (const char *number : {"1", "2", "3"}) {
        hosts.push_back(std::make_unique<Host>(std::string("front-") + number, "zone-a", std::string("127.0.0.4") + number, store.address(), folder.path()));
        hosts.back()->start();
    }
    for (const auto &host : hosts) {
        if (!host->awaitReady(Milliseconds(10'000))) {
            record.write(host->id() + " is not ready");
            return CouldNotRun;
        }
    }
    std::this_thread::sleep_for(contactTime + Milliseconds(1000));
    record.write(std::to_string(partsBefore()) + " shared parts stand before the harmful one");
    Counts sound;
    Counts harmful;
    std::vector<std::thread> clients;
    std::vector<Sent> sent;
    const TimePoint begin = Clock::now();
    const TimePoint firstHarmful = begin + calmTime;
    TimePoint nextHarmful = firstHarmful;
    for (unsigned number = 0; Clock::now() < begin + runTime; ++number) {
        const bool sendsHarmful = Clock::now() >= nextHarmful;
        nextHarmful += sendsHarmful ? harmfulInterval : Milliseconds(0);
        const std::string attempt = (sendsHarmful ? "harmful-" : "sound-") + std::to_string(number);
        const Host &host = *hosts[number % hosts.size()];
        if (!sendsHarmful) {
            sent.push_back({attempt, Clock::now()});
        }
        clients.emplace_back([&, attempt, sendsHarmful]() {
            send(record, host, attempt, sendsHarmful, sendsHarmful ? harmful : sound);
        });
        std::this_thread::sleep_for(soundInterval);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::lock_guard lock(seen.mutex);
    record.write("sound requests: " + describe(sound));
    record.write("harmful requests: " + describe(harmful));
    record.write(std::to_string(seen.crashes.size()) + " crashes; " + std::to_string(seen.lateRuns.size())
                 + " harmful requests reached runners later than contact_ms after the fifth crash, " + std::to_string(toleratedRuns) + " may");
    if (seen.crashes.empty()) {
        return Held;
    }
    const TimePoint judgedFrom = seen.crashes[std::min(seen.crashes.size(), toleratedCrashes) - 1] + 2 * contactTime;
    const Share before = shareBegun(sent, seen.begun, begin, firstHarmful);
    const Share after = shareBegun(sent, seen.begun, judgedFrom, begin + runTime);
    record.write("sound requests that began at the first attempt: " + describe(before) + " before the first harmful request, " + describe(after)
                 + " from 2 x contact_ms after the fifth crash");
    const bool lost = before.sent >= leastSample && after.sent >= leastSample && after.value() < before.value() / 2;
    const bool overBudget = seen.lateRuns.size() > toleratedRuns;
    record.write(std::string("LOST ") + (lost ? "is broken" : "holds") + ", BUDGET " + (overBudget ? "is broken" : "holds"));
    return lost || overBudget ? Broken : Held;
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
        record.write(result == Broken ? "a rule is broken" : result == Held ? "the rules hold" : "the case could not run");
        return result;
    } catch (const std::exception &error) {
        record.write(error.what());
        return CouldNotRun;
    }
}
