#include "Soak/SoakHost.h"

#include "Soak/RunLedger.h"
#include "Soak/SoakNames.h"

#include <nlohmann/json.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace Mangofall::Soak {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint16_t callerPort = 8227;
constexpr std::uint16_t readyPort = 8220;
constexpr std::uint16_t peerPort = 7340;
constexpr int dataCentres = 3;
constexpr int mostMisses = 2;
constexpr std::chrono::milliseconds restartDelay{400};
constexpr std::chrono::milliseconds stopSlack{1500};

// Loopback addresses of their own keep the ports of several soaks apart.
std::string loopbackAddress(std::size_t index)
{
    constexpr int values = 250; // Of a byte, without those with a special meaning.
    const int process = ::getpid();
    return "127." + std::to_string(1 + process % values) + "." + std::to_string(1 + process / values % values) + "." + std::to_string(index + 1);
}

}

SoakHost::SoakHost(boost::asio::io_context &io, const Place &place, RunLedger &ledger)
    : m_id("host-" + std::to_string(place.index))
    , m_address(loopbackAddress(place.index))
    , m_ledger(ledger)
    , m_storeLink(io,
                  [port = place.storePort]() {
                      return NetworkAddress{"127.0.0.1", port};
                  })
    , m_peerLink(io,
                 [address = m_address]() {
                     return NetworkAddress{address, peerPort};
                 })
    , m_process(place.program, place.folder + "/" + m_id + ".json", place.folder + "/" + m_id + ".log")
{
    writeSettings(place);
}

const std::string &SoakHost::id() const
{
    return m_id;
}

NetworkAddress SoakHost::callers() const
{
    return {m_address, callerPort};
}

NetworkAddress SoakHost::readiness() const
{
    return {m_address, readyPort};
}

NetworkAddress SoakHost::peers() const
{
    return {"127.0.0.1", m_peerLink.port()};
}

void SoakHost::start()
{
    m_process.start();
    m_killed = false;
    m_terminatedAt.reset();
    m_startAgainAt.reset();
    disturbed();
}

void SoakHost::kill()
{
    m_killed = true;
    m_process.signal(SIGKILL);
    disturbed();
}

void SoakHost::pause()
{
    m_paused = true;
    m_process.signal(SIGSTOP);
}

void SoakHost::resume()
{
    m_paused = false;
    m_process.signal(SIGCONT);
    disturbed();
}

void SoakHost::terminate()
{
    if (m_process.running() && !m_terminatedAt && !m_killed) {
        m_terminatedAt = Clock::now();
        m_process.signal(SIGTERM);
    }
}

void SoakHost::reload()
{
    if (!m_killed) {
        m_process.signal(SIGHUP);
    }
}

void SoakHost::check(TimePoint now)
{
    if (const std::optional<int> status = m_process.reap()) {
        if (!m_killed && !m_terminatedAt) {
            m_ledger.broken(m_id + " ended by itself with status " + std::to_string(*status));
        }
        m_startAgainAt = now + restartDelay;
    }
    if (m_startAgainAt && now >= *m_startAgainAt) {
        start();
    }
    const bool overdue = m_terminatedAt && now >= *m_terminatedAt + stopTime + stopSlack;
    if (overdue && !m_killed && !m_paused) {
        if (now >= m_undisturbedSince + stopTime) {
            m_ledger.broken(m_id + " did not stop within its time");
        }
        kill();
    }
}

void SoakHost::setStoreFault(LinkFault fault)
{
    m_storeLink.setFault(fault);
    disturbed();
}

void SoakHost::setPeerFault(LinkFault fault)
{
    m_peerLink.setFault(fault);
    disturbed();
}

void SoakHost::readinessSeen(bool ready)
{
    m_misses = ready ? 0 : m_misses + 1;
    m_inRotation = ready || (m_inRotation && m_misses < mostMisses);
}

bool SoakHost::inRotation() const
{
    return m_inRotation;
}

TimePoint SoakHost::undisturbedSince() const
{
    const bool harmed = m_paused || m_killed || m_storeLink.fault() != LinkFault::None || m_peerLink.fault() != LinkFault::None;
    return harmed ? TimePoint::max() : m_undisturbedSince;
}

std::optional<TimePoint> SoakHost::terminatedAt() const
{
    return m_terminatedAt;
}

void SoakHost::writeSettings(const Place &place)
{
    nlohmann::json settings = nlohmann::json::object();
    settings["hostId"] = m_id;
    settings["dataCentre"] = "dc" + std::to_string(place.index % dataCentres);
    settings["address"] = m_address;
    settings["callerListener"] = m_address + ":" + std::to_string(callerPort);
    settings["readyListener"] = m_address + ":" + std::to_string(readyPort);
    settings["peerPort"] = peerPort;
    settings["metricsPort"] = 0;
    settings["store"] = "127.0.0.1:" + std::to_string(m_storeLink.port());
    settings["retryBudget"] = {{"ratio", 0.2}, {"reserve", 100}};
    settings["stopSeconds"] = Seconds(stopTime).count();
    settings["silenceLimitMs"] = settleTime.count();
    settings["logLinesPerSecond"] = 1000;
    std::ofstream(place.folder + "/" + m_id + ".json") << settings.dump(2);
}

void SoakHost::disturbed()
{
    m_undisturbedSince = Clock::now();
}

}
