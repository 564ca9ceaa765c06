// One part of prompts crashes each runner that begins to write an answer on it. The hosts never hold such prompts back, because the runner's first event
// clears the part; see claim.txt.

#include "Case.h"

#include "Caller.h"
#include "Deployment.h"
#include "Record.h"
#include "Runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr const char *service = "huvo11a";
constexpr const char *firstPart = "5c1e07a2:40";
constexpr const char *harmfulPart = "bad0bad0";
constexpr unsigned slots = 16;
constexpr unsigned runners = 9;
constexpr std::size_t callersPerHost = 10;
constexpr std::chrono::milliseconds routeTimeout{10000};
constexpr std::chrono::milliseconds routeTarget{1500};
constexpr std::chrono::milliseconds callerPause{100};
// Traffic without harmful prompts, as the measure of how often sound requests begin.
constexpr std::chrono::milliseconds calmTime{10000};
constexpr std::chrono::milliseconds troubleTime{30000};
// Of the prompts, about one in twenty has the harmful part.
constexpr std::chrono::milliseconds harmfulInterval{1000};
// "...the runner is back after some seconds." An entry is removed after three heartbeat intervals of silence; heartbeat_ms is 1200.
constexpr std::chrono::milliseconds downTime{3600};
constexpr std::chrono::milliseconds coldTime{3000};
// "...later than contact_ms after the fifth crash."
constexpr std::size_t crashesBeforeBound = 5;
// "More than three requests with a part that crashes runners..."
constexpr unsigned allowedRequests = 3;
// "(20 or more of each...)"
constexpr unsigned fewestSoundRequests = 20;
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusGatewayTimeout = 504;

bool isHarmful(const Runner::Request &request)
{
    return field(request, "Prompt-Prefix").find(harmfulPart) != std::string::npos;
}

// Crashes as soon as it has begun to write an answer on a prompt with the harmful part, and starts again after some seconds under another id.
class FragileRunner : public Runner
{
public:
    using Runner::Runner;

    bool crashed() const
    {
        return m_crashedAt != TimePoint();
    }

    TimePoint crashedAt() const
    {
        return m_crashedAt;
    }

    /// Times at which requests with the harmful part reached this runner.
    const std::vector<TimePoint> &harmfulArrivals() const
    {
        return m_harmfulArrivals;
    }

protected:
    Asio::awaitable<bool> execute(SocketPointer socket, const Request &request) override
    {
        if (!isHarmful(request)) {
            const bool keepOpen = co_await Runner::execute(socket, request);
            co_return keepOpen;
        }
        m_harmfulArrivals.push_back(Clock::now());
        const std::string resumed = field(request, "Last-Event-Id");
        const std::uint64_t event = std::strtoull(resumed.c_str(), nullptr, 10) + 1;
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + field(request, "Attempt-Id") + "\n\n";
        co_await pause(times().firstEvent);
        if (crashed()) {
            co_return false;
        }
        std::string bytes = answerHead(request, statusOk) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text);
        co_await write(socket, std::move(bytes));
        // The next event never comes.
        co_await pause(times().eventInterval / 2);
        if (!crashed()) {
            m_crashedAt = Clock::now();
            exit();
        }
        co_return false;
    }

private:
    TimePoint m_crashedAt;
    std::vector<TimePoint> m_harmfulArrivals;
};

class HarmfulPartCase : public Case
{
public:
    HarmfulPartCase(Asio::io_context &io, Record &record)
        : Case(io, {"poa", "cwb", "fln"}, record)
    {
        const std::vector<std::string> zones{"poa", "cwb", "fln"};
        for (unsigned index = 0; index < runners; ++index) {
            addRunner({"i-" + std::to_string(index + 1), service, zones[index % zones.size()], slots});
        }
    }

protected:
    std::string configurationText() const override
    {
        const nlohmann::json routes = nlohmann::json::array({streamRoute("pufi791", service, routeTimeout, routeTarget)});
        const nlohmann::json services = nlohmann::json::array({engineService(service, slots)});
        return configuration(routes, services).dump();
    }

    Asio::awaitable<void> play() override
    {
        m_stopAt = Clock::now() + calmTime + troubleTime;
        for (std::size_t caller = 0; caller < callersPerHost * m_fleet.size(); ++caller) {
            spawn(call(caller % m_fleet.size(), caller));
        }
        spawn(restartRunners());
        co_await m_fleet.pause(calmTime);
        m_troubleAt = Clock::now();
        spawn(sendHarmful());
        co_await m_fleet.pause(troubleTime + routeTimeout);
    }

    Verdict judge() override
    {
        const std::vector<TimePoint> crashes = crashTimes();
        const bool bounded = crashes.size() >= crashesBeforeBound;
        const TimePoint fifth = bounded ? crashes[crashesBeforeBound - 1] : TimePoint::max();
        unsigned late = 0;
        for (const FragileRunner *runner : m_fragile) {
            for (const TimePoint arrival : runner->harmfulArrivals()) {
                late += bounded && arrival > fifth + contactTime ? 1 : 0;
            }
        }
        const Share calm = beganBetween(TimePoint(), m_troubleAt);
        const Share later = bounded ? beganBetween(fifth + contactTime * 2, TimePoint::max()) : Share();
        m_record.write("crashes of runners " + std::to_string(crashes.size()) + ", harmful requests sent " + std::to_string(m_harmfulSent)
                       + ", of those that reached runners later than contact_ms after the fifth crash " + std::to_string(late)
                       + " (allowed: " + std::to_string(allowedRequests) + ")");
        m_record.write("sound requests that began: " + std::to_string(calm.began) + " of " + std::to_string(calm.sent) + " before the trouble, "
                       + std::to_string(later.began) + " of " + std::to_string(later.sent) + " later than 2 x contact_ms after the fifth crash");
        const auto lost = std::count_if(m_sound.begin(), m_sound.end(), [](const SoundRequest &request) {
            return request.lost;
        });
        m_record.write("sound requests whose accepted work was lost: " + std::to_string(lost) + " of " + std::to_string(m_sound.size()));
        if (calm.began == 0) {
            return Verdict::NotRun;
        }
        return late > allowedRequests ? Verdict::Broken : Verdict::Held;
    }

private:
    struct Share {
        unsigned sent = 0;
        unsigned began = 0;
    };
    struct SoundRequest {
        TimePoint sentAt;
        bool began = false;
        bool lost = false; ///< The answer broke off, or an error says that the request may have run.
    };

    void addRunner(const RunnerEntry &entry)
    {
        const RunnerTimes times{.firstEvent = std::chrono::milliseconds(200), .eventInterval = std::chrono::milliseconds(50)};
        auto runner = std::make_unique<FragileRunner>(m_io, entry, times, m_fleet.store(), m_record);
        m_fragile.push_back(runner.get());
        m_runners.push_back(std::move(runner));
    }

    std::vector<TimePoint> crashTimes() const
    {
        std::vector<TimePoint> times;
        for (const FragileRunner *runner : m_fragile) {
            if (runner->crashed()) {
                times.push_back(runner->crashedAt());
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    Share beganBetween(TimePoint begin, TimePoint end) const
    {
        Share share;
        for (const SoundRequest &request : m_sound) {
            if (request.sentAt >= begin && request.sentAt < end) {
                ++share.sent;
                share.began += request.began ? 1 : 0;
            }
        }
        return share;
    }

    // Starts a runner again in place of each that has crashed, and lets the entry of the crashed one expire.
    Asio::awaitable<void> restartRunners()
    {
        std::size_t next = 0;
        while (true) {
            for (std::size_t index = 0; index < m_fragile.size(); ++index) {
                const FragileRunner &runner = *m_fragile[index];
                const bool due = runner.crashed() && Clock::now() >= runner.crashedAt() + downTime;
                if (due && std::find(m_replaced.begin(), m_replaced.end(), index) == m_replaced.end()) {
                    m_replaced.push_back(index);
                    m_fleet.store().remove("servers/" + runner.entry().id);
                    RunnerEntry entry = runner.entry();
                    entry.id = "j-" + std::to_string(++next);
                    addRunner(entry);
                    m_runners.back()->publish("ready", coldTime);
                }
            }
            co_await m_fleet.pause(std::chrono::milliseconds(50));
        }
    }

    Attempt makeAttempt(const std::string &id, const std::string &parts) const
    {
        Attempt attempt;
        attempt.id = id;
        attempt.path = "/pufi791/2f";
        attempt.deadline = routeTimeout;
        attempt.tokenCounts = "22000,600";
        attempt.promptPrefix = parts;
        attempt.body = "prompt " + id;
        return attempt;
    }

    Asio::awaitable<void> call(std::size_t host, std::size_t number)
    {
        Caller caller(m_io, m_fleet.host(host).callerAddress(), m_record);
        unsigned sent = 0;
        while (Clock::now() < m_stopAt) {
            const std::string own = std::to_string(1000000 + number * 1000 + ++sent);
            Attempt attempt = makeAttempt("h" + std::to_string(host) + "-" + std::to_string(number) + "-" + std::to_string(sent),
                                          std::string(firstPart) + "," + own + ":21960");
            const std::size_t index = m_sound.size();
            m_sound.push_back({Clock::now()});
            const Outcome outcome = co_await caller.send(attempt);
            m_sound[index].began = outcome.status == statusOk;
            m_sound[index].lost = outcome.connected && (!outcome.complete || outcome.status == statusBadGateway || outcome.status == statusGatewayTimeout);
            co_await m_fleet.pause(callerPause);
        }
    }

    Asio::awaitable<void> sendHarmful()
    {
        while (Clock::now() < m_stopAt) {
            spawn(callHarmful(++m_harmfulSent));
            co_await m_fleet.pause(harmfulInterval);
        }
    }

    Asio::awaitable<void> callHarmful(unsigned number)
    {
        Caller caller(m_io, m_fleet.host(number % m_fleet.size()).callerAddress(), m_record);
        const std::string part = troubleWanted() ? std::string(harmfulPart) + ":200," : std::string("600d600d:200,");
        Attempt attempt = makeAttempt("part-" + std::to_string(number), std::string(firstPart) + "," + part + std::to_string(5000000 + number) + ":21760");
        co_await caller.send(attempt);
    }

    std::vector<FragileRunner *> m_fragile;
    std::vector<std::size_t> m_replaced; ///< Indices of crashed runners in whose place another one has started.
    std::vector<SoundRequest> m_sound;
    TimePoint m_stopAt;
    TimePoint m_troubleAt;
    unsigned m_harmfulSent = 0;
};

}

}

int main(int argc, char **argv)
{
    return Mangofall::Review::runCase(argc, argv, [](boost::asio::io_context &io, Mangofall::Review::Record &record) {
        return std::make_unique<Mangofall::Review::HarmfulPartCase>(io, record);
    });
}
