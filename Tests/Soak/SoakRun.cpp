#include "Soak/SoakRun.h"

#include "Soak/SoakCaller.h"
#include "Soak/SoakNames.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds startTime{4500};
// From the end of the last fault until the fleet must serve again: the bound of the platform for this is 12 s and more.
constexpr std::chrono::milliseconds recoveryTime{7000};
constexpr std::chrono::milliseconds calmTime{3000};
constexpr std::chrono::milliseconds lastAnswers{7000};
// Of the requests in calm; a request may still meet an upstream that the last fault left slow.
constexpr double leastCalmShare = 0.97;

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::StopHost || kind == FaultKind::ReloadHost;
}

}

SoakRun::SoakRun(const SoakOptions &options)
    : m_options(options)
    , m_io(1)
    , m_fleet(m_io, m_options, m_ledger)
{
}

std::vector<std::string> SoakRun::run()
{
    Asio::co_spawn(m_io, play(), [this](const std::exception_ptr &error) {
        m_io.stop();
        if (error) {
            std::rethrow_exception(error);
        }
    });
    m_io.run();
    m_ledger.checkRefusals();
    return m_ledger.violations();
}

const std::vector<std::string> &SoakRun::report() const
{
    return m_report;
}

Asio::awaitable<void> SoakRun::play()
{
    m_startedAt = Clock::now();
    m_fleet.start();
    const std::vector<FaultStep> plan = makeFaultPlan(m_options);
    const TimePoint faultsFrom = m_startedAt + startTime;
    Duration lastEnd = m_options.faultTime;
    for (const FaultStep &step : plan) {
        lastEnd = std::max(lastEnd, step.at + step.length);
    }
    const TimePoint calmSince = faultsFrom + lastEnd + recoveryTime;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    callers.reserve(m_options.callers);
    for (std::size_t index = 0; index < m_options.callers; ++index) {
        callers.push_back(std::make_unique<SoakCaller>(m_io, m_fleet, m_ledger, m_options.seed, index));
        Asio::co_spawn(m_io, callers.back()->run(calmSince + calmTime), Asio::detached);
    }
    for (const FaultStep &step : plan) {
        co_await sleepUntil(faultsFrom + step.at);
        begin(step);
    }
    co_await sleepUntil(calmSince + calmTime + lastAnswers);
    checkRecovery(calmSince);
}

Asio::awaitable<void> SoakRun::sleepUntil(TimePoint time)
{
    Asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
}

void SoakRun::begin(const FaultStep &step)
{
    note(std::string(name(step.kind)) + " " + std::to_string(step.target) + " for "
         + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(step.length).count()) + " ms, link " + std::string(name(step.link)));
    if (!isPlanned(step.kind)) {
        m_fleet.disturbed();
    }
    auto &hosts = m_fleet.hosts();
    auto &upstreams = m_fleet.upstreams();
    switch (step.kind) {
    case FaultKind::KillHost:
        hosts[step.target]->kill();
        break;
    case FaultKind::KillMostHosts:
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            if (index != step.target) {
                hosts[index]->kill();
            }
        }
        break;
    case FaultKind::PauseHost:
        hosts[step.target]->pause();
        break;
    case FaultKind::StopHost:
        hosts[step.target]->terminate();
        break;
    case FaultKind::ReloadHost:
        hosts[step.target]->reload();
        break;
    case FaultKind::HarmStoreLink:
        hosts[step.target]->setStoreFault(step.link);
        break;
    case FaultKind::HarmPeerLink:
        hosts[step.target]->setPeerFault(step.link);
        break;
    case FaultKind::StopStore:
        m_fleet.store().setDown(true);
        break;
    case FaultKind::ForgetHistory:
        m_fleet.store().forgetHistory();
        break;
    case FaultKind::CrashUpstream:
        upstreams[step.target]->crash(std::chrono::duration_cast<std::chrono::milliseconds>(step.length));
        break;
    case FaultKind::MuteUpstream:
        upstreams[step.target]->setFault(UpstreamFault::Mute);
        break;
    case FaultKind::BusyUpstream:
        upstreams[step.target]->setFault(UpstreamFault::Busy);
        break;
    case FaultKind::FailUpstream:
        upstreams[step.target]->setFault(UpstreamFault::Failing);
        break;
    case FaultKind::SilenceUpstream:
        upstreams[step.target]->setLinkFault(true);
        break;
    case FaultKind::DrainUpstream:
        upstreams[step.target]->drain();
        break;
    }
    if (isPlanned(step.kind)) {
        return;
    }
    auto timer = std::make_shared<Asio::steady_timer>(m_io, step.length);
    timer->async_wait([this, timer, step](const boost::system::error_code &) {
        end(step);
        m_fleet.disturbed();
    });
}

void SoakRun::end(const FaultStep &step)
{
    auto &hosts = m_fleet.hosts();
    auto &upstreams = m_fleet.upstreams();
    switch (step.kind) {
    case FaultKind::PauseHost:
        hosts[step.target]->resume();
        break;
    case FaultKind::HarmStoreLink:
        hosts[step.target]->setStoreFault(LinkFault::None);
        break;
    case FaultKind::HarmPeerLink:
        hosts[step.target]->setPeerFault(LinkFault::None);
        break;
    case FaultKind::StopStore:
        m_fleet.store().setDown(false);
        break;
    case FaultKind::MuteUpstream:
    case FaultKind::BusyUpstream:
    case FaultKind::FailUpstream:
        upstreams[step.target]->setFault(UpstreamFault::None);
        break;
    case FaultKind::SilenceUpstream:
        upstreams[step.target]->setLinkFault(false);
        break;
    default:
        break;
    }
}

void SoakRun::checkRecovery(TimePoint calmSince)
{
    const double share = m_ledger.answeredShare(calmSince);
    note("answered " + std::to_string(m_ledger.count(CallerEnd::Answered)) + ", refused " + std::to_string(m_ledger.count(CallerEnd::Refused)) + ", failed "
         + std::to_string(m_ledger.count(CallerEnd::Failed)) + ", broken " + std::to_string(m_ledger.count(CallerEnd::Broken)) + "; in calm "
         + std::to_string(share) + " answered");
    if (share < leastCalmShare) {
        m_ledger.broken("after all faults only " + std::to_string(share) + " of the requests were answered");
    }
}

void SoakRun::note(const std::string &line)
{
    m_report.push_back(std::to_string(Seconds(Clock::now() - m_startedAt).count()) + " s: " + line);
}

}
