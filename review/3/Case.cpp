// A runner sends the body of its answer a byte now and then, without end. The host never answers an order that it has sent there; see claim.txt.

#include "Case.h"

#include "Caller.h"
#include "Deployment.h"
#include "Record.h"
#include "Runner.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr const char *service = "wuno96b";
constexpr const char *faultyRunner = "s-2";
constexpr unsigned slots = 6;
constexpr std::size_t callersPerHost = 4;
constexpr std::chrono::milliseconds routeTimeout{2000};
constexpr std::chrono::milliseconds routeTarget{300};
constexpr std::chrono::milliseconds callerDeadline{4000};
// An answer must follow this long after the route's timeout.
constexpr std::chrono::milliseconds tolerance{500};
constexpr std::chrono::milliseconds playTime{30000};
constexpr std::chrono::milliseconds callerPause{150};
constexpr std::chrono::milliseconds byteInterval{300};
// "Eight or more of them, and over a quarter, have no final answer from machines in touch 0.5 s after it."
constexpr unsigned fewestOverdue = 8;
constexpr unsigned overdueDivisor = 4;

// Begins each answer properly; its body then comes a byte now and then until the connection is closed.
class TricklingRunner : public Runner
{
public:
    using Runner::Runner;

protected:
    Asio::awaitable<bool> execute(SocketPointer socket, const Request &request) override
    {
        std::string head = answerHead(request, 200) + "Transfer-Encoding: chunked\r\n\r\n";
        bool open = co_await write(socket, std::move(head));
        while (open) {
            std::string byte = "1\r\nr\r\n";
            open = co_await write(socket, std::move(byte));
            co_await pause(byteInterval);
        }
        record().write("at " + entry().id + " " + field(request, "Attempt-Id") + " closed by its host");
        co_return false;
    }
};

class TricklingAnswerCase : public Case
{
public:
    TricklingAnswerCase(Asio::io_context &io, Record &record)
        : Case(io, {"poa", "cwb", "fln"}, record)
    {
        addRunner({"s-1", service, "poa", slots});
        addRunner({"s-2", service, "cwb", slots});
        addRunner({"s-3", service, "fln", slots});
    }

protected:
    std::string configurationText() const override
    {
        const nlohmann::json routes = nlohmann::json::array({route("puxa403", "unsafe", service, routeTimeout, routeTarget)});
        const nlohmann::json services = nlohmann::json::array({plainService(service)});
        return configuration(routes, services).dump();
    }

    Asio::awaitable<void> play() override
    {
        m_stopAt = Clock::now() + playTime;
        for (std::size_t caller = 0; caller < callersPerHost * m_fleet.size(); ++caller) {
            spawn(call(caller % m_fleet.size(), caller));
        }
        co_await m_fleet.pause(playTime + callerDeadline + tolerance);
    }

    Verdict judge() override
    {
        m_record.write("sent " + std::to_string(m_sent) + ", answered " + std::to_string(m_answered) + ", lasted longer than the route's timeout "
                       + std::to_string(m_late) + ", of these without an answer " + std::to_string(tolerance.count()) + " ms later " + std::to_string(m_overdue)
                       + ", ends of processes " + std::to_string(m_fleet.ends().size()));
        if (m_answered == 0) {
            return Verdict::NotRun;
        }
        return m_overdue >= fewestOverdue && m_overdue * overdueDivisor > m_late ? Verdict::Broken : Verdict::Held;
    }

private:
    void addRunner(const RunnerEntry &entry)
    {
        if (troubleWanted() && entry.id == faultyRunner) {
            m_runners.push_back(std::make_unique<TricklingRunner>(m_io, entry, RunnerTimes(), m_fleet.store(), m_record));
        } else {
            m_runners.push_back(std::make_unique<Runner>(m_io, entry, RunnerTimes(), m_fleet.store(), m_record));
        }
    }

    Asio::awaitable<void> call(std::size_t host, std::size_t number)
    {
        Caller caller(m_io, m_fleet.host(host).callerAddress(), m_record);
        unsigned sent = 0;
        while (Clock::now() < m_stopAt) {
            Attempt attempt;
            attempt.id = "h" + std::to_string(host) + "-" + std::to_string(number) + "-" + std::to_string(++sent);
            attempt.path = "/puxa403/2f";
            attempt.deadline = callerDeadline;
            attempt.body = "order " + attempt.id;
            const Outcome outcome = co_await caller.send(attempt);
            ++m_sent;
            m_answered += outcome.complete ? 1 : 0;
            m_late += outcome.took > routeTimeout ? 1 : 0;
            m_overdue += outcome.took > routeTimeout + tolerance ? 1 : 0;
            co_await m_fleet.pause(callerPause);
        }
    }

    TimePoint m_stopAt;
    unsigned m_sent = 0;
    unsigned m_answered = 0;
    unsigned m_late = 0;
    unsigned m_overdue = 0;
};

}

}

int main(int argc, char **argv)
{
    return Mangofall::Review::runCase(argc, argv, [](boost::asio::io_context &io, Mangofall::Review::Record &record) {
        return std::make_unique<Mangofall::Review::TricklingAnswerCase>(io, record);
    });
}
