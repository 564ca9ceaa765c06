// A runner answers with bytes that are no answer and have no end. The hosts keep them all in memory until the platform kills them; see claim.txt.

#include "Case.h"

#include "Caller.h"
#include "Deployment.h"
#include "Record.h"
#include "Runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr const char *service = "huvo11a";
constexpr const char *faultyRunner = "i-3";
constexpr unsigned slots = 16;
constexpr unsigned runners = 7;
constexpr std::size_t callersPerHost = 10;
constexpr std::chrono::milliseconds routeTimeout{15000};
constexpr std::chrono::milliseconds routeTarget{3000};
constexpr std::chrono::milliseconds playTime{25000};
constexpr std::chrono::milliseconds callerPause{50};
constexpr std::size_t blockBytes = 256UL * 1024;
// Share of a machine's link that the endless answer takes.
constexpr double linkShare = 0.5;
// "...closes that connection without an answer, more than three times."
constexpr unsigned allowedLosses = 3;

// Spreads the bytes that are sent to one machine over time, as its link does.
class LinkPace
{
public:
    // Returns how long to wait before sending that many bytes.
    Duration next(std::size_t bytes)
    {
        const TimePoint now = Clock::now();
        const TimePoint start = std::max(now, m_freeAt);
        m_freeAt = start + toDuration(Seconds(static_cast<double>(bytes) / (machineLinkBytesPerSecond * linkShare)));
        return start - now;
    }

private:
    TimePoint m_freeAt;
};

// The name of the host to which the attempt was sent; attempts are named HOST-CALLER-NUMBER.
std::string hostOf(const std::string &attempt)
{
    return attempt.substr(0, attempt.find('-'));
}

// Begins each answer properly. Where a chunk's size and a line end are due, it sends letters until the connection is closed.
class EndlessRunner : public Runner
{
public:
    using Runner::Runner;

protected:
    Asio::awaitable<bool> execute(SocketPointer socket, const Request &request) override
    {
        const std::string attempt = field(request, "Attempt-Id");
        std::string bytes = answerHead(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        bool open = co_await write(socket, std::move(bytes));
        std::size_t sent = 0;
        while (open) {
            const Duration wait = m_paces[hostOf(attempt)].next(blockBytes);
            co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(wait));
            std::string block(blockBytes, 'x');
            open = co_await write(socket, std::move(block));
            sent += blockBytes;
        }
        record().write("at " + entry().id + " " + attempt + " closed by its host after " + std::to_string(sent) + " bytes");
        co_return false;
    }

private:
    std::map<std::string, LinkPace> m_paces;
};

class EndlessAnswerCase : public Case
{
public:
    EndlessAnswerCase(Asio::io_context &io, Record &record)
        : Case(io, {"poa", "cwb", "fln"}, record)
        , m_losses(m_fleet.size())
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
        m_stopAt = Clock::now() + playTime;
        for (std::size_t caller = 0; caller < callersPerHost * m_fleet.size(); ++caller) {
            spawn(call(caller % m_fleet.size(), caller));
        }
        co_await m_fleet.pause(playTime + routeTimeout);
    }

    Verdict judge() override
    {
        const auto kills = std::count_if(m_fleet.ends().begin(), m_fleet.ends().end(), [](const Fleet::End &end) {
            return end.memoryExceeded;
        });
        m_record.write("sent " + std::to_string(m_sent) + ", served " + std::to_string(m_served) + ", ends of processes "
                       + std::to_string(m_fleet.ends().size()) + " (memory " + std::to_string(kills) + "), largest memory "
                       + std::to_string(m_fleet.largestMemory()));
        Verdict verdict = m_served > 0 ? Verdict::Held : Verdict::NotRun;
        for (std::size_t host = 0; host < m_losses.size(); ++host) {
            m_record.write("LOST at " + m_fleet.host(host).machine().node + ": " + std::to_string(m_losses[host])
                           + " (allowed: " + std::to_string(allowedLosses) + ")");
            verdict = m_losses[host] > allowedLosses ? Verdict::Broken : verdict;
        }
        return verdict;
    }

private:
    void addRunner(const RunnerEntry &entry)
    {
        const RunnerTimes times{.firstEvent = std::chrono::milliseconds(800), .eventInterval = std::chrono::milliseconds(40)};
        if (troubleWanted() && entry.id == faultyRunner) {
            m_runners.push_back(std::make_unique<EndlessRunner>(m_io, entry, times, m_fleet.store(), m_record));
        } else {
            m_runners.push_back(std::make_unique<Runner>(m_io, entry, times, m_fleet.store(), m_record));
        }
    }

    Asio::awaitable<void> call(std::size_t host, std::size_t number)
    {
        Caller caller(m_io, m_fleet.host(host).callerAddress(), m_record);
        unsigned sent = 0;
        while (Clock::now() < m_stopAt) {
            Attempt attempt;
            attempt.id = "h" + std::to_string(host) + "-" + std::to_string(number) + "-" + std::to_string(++sent);
            attempt.path = "/pufi791/2f";
            attempt.deadline = routeTimeout;
            attempt.tokenCounts = "22000,600";
            attempt.promptPrefix = "5c1e07a2:40," + std::to_string(1000000 + number * 1000 + sent) + ":21960";
            attempt.body = "prompt " + attempt.id;
            const Outcome outcome = co_await caller.send(attempt);
            count(host, attempt.id, outcome);
            co_await m_fleet.pause(callerPause);
        }
    }

    // A loss in the words of the rule: a request from a kept connection that reached a sound runner, and whose connection ended without an answer.
    void count(std::size_t host, const std::string &attempt, const Outcome &outcome)
    {
        const bool ended = outcome.connected && !outcome.anyBytes && !outcome.complete && !outcome.gaveUp;
        ++m_sent;
        m_served += outcome.complete && outcome.status == 200 ? 1 : 0;
        if (!ended || !outcome.keptConnection) {
            return;
        }
        for (const std::unique_ptr<Runner> &runner : m_runners) {
            if (runner->entry().id != faultyRunner && runner->executed(attempt)) {
                ++m_losses[host];
                m_record.write("lost " + attempt + ", executed by the sound runner " + runner->entry().id);
                return;
            }
        }
    }

    std::vector<unsigned> m_losses; ///< By host.
    TimePoint m_stopAt;
    unsigned m_sent = 0;
    unsigned m_served = 0;
};

}

}

int main(int argc, char **argv)
{
    return Mangofall::Review::runCase(argc, argv, [](boost::asio::io_context &io, Mangofall::Review::Record &record) {
        return std::make_unique<Mangofall::Review::EndlessAnswerCase>(io, record);
    });
}
