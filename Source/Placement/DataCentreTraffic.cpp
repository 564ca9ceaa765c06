#include "Placement/DataCentreTraffic.h"

#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamEntry.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Mangofall::Placement {

namespace {

constexpr double bytesPerGigabyte = 1e9;
constexpr std::chrono::seconds reportValidity{5};
// Weight of the newest grant in the means: about the last 64 grants count.
constexpr double newestWeight = 1.0 / 64;
// A data centre with a larger part of its slots in use has requests that wait at times.
constexpr double usableSlots = 0.9;
// The preference for the own data centre of requests that need not leave. In the experiment, 0.15 leaves as much traffic as the constants before, and 0.3 a
// tenth less at the same credit. With 1, fewer long prompts are on time, because requests fill fewer engines in use (docs/design).
constexpr double homePreference = 0.3;
// Outweighs filling engines in use, and less than an upstream that is avoided because it fails.
constexpr double beyondMaxShareCost = 2;
// Requests without a target, and very short ones, would make any delay look prohibitive.
constexpr double leastTargetSeconds = 0.05;
constexpr std::uint64_t shareSteps = 1024;
constexpr std::uint64_t mixingFactor = 0x9E3779B97F4A7C15; // Spreads consecutive numbers evenly (golden ratio).
constexpr int mixingShift = 40;

void moveMean(double &mean, double value, bool first)
{
    mean += (first ? 1 : newestWeight) * (value - mean);
}

double targetSeconds(const PlacementRequest &request)
{
    return std::max(Seconds(request.target).count(), leastTargetSeconds);
}

double bytesOf(const PlacementRequest &request)
{
    return static_cast<double>(request.requestBytes) + static_cast<double>(request.answerBytes);
}

// The same requests leave each time that their wait is decided, and the more the larger the share is.
bool isInShare(const PlacementRequest &request, double share)
{
    const std::uint64_t step = ((request.id.number * mixingFactor) >> mixingShift) % shareSteps;
    return static_cast<double>(step) < share * static_cast<double>(shareSteps);
}

// What is better served elsewhere: the demand beyond the slots, and what evens out the prefill backlogs compared with the target.
double excessShare(const DataCentreLoad &load, double demand, double backlogDifference, double target)
{
    const double beyondSlots = demand > 0 ? std::max(0.0, 1 - usableSlots * load.slots / demand) : 0;
    const double beyondBacklog = std::max(0.0, backlogDifference) / (std::max(0.0, backlogDifference) + target);
    return std::max(beyondSlots, beyondBacklog);
}

}

DataCentreTraffic::DataCentreTraffic(const CrossDataCentreOptions &options, DataCentreDelays delays)
    : m_options(options)
    , m_delays(std::move(delays))
{
}

void DataCentreTraffic::granted(const PlacementRequest &request, const DataCentreId &dataCentre)
{
    Home &known = home(request.dataCentre);
    const bool first = known.grants++ == 0;
    ++known.running;
    moveMean(known.bytes, bytesOf(request), first);
    moveMean(known.targetSeconds, targetSeconds(request), first);
    moveMean(known.observed, dataCentre == request.dataCentre ? 0 : 1, false);
}

void DataCentreTraffic::adopted(const DataCentreId &dataCentre)
{
    ++home(dataCentre).running;
}

void DataCentreTraffic::ended(const DataCentreId &dataCentre, Duration elapsed)
{
    Home &known = home(dataCentre);
    known.running -= std::min(known.running, 1U);
    moveMean(m_answerSeconds, Seconds(elapsed).count(), m_answerSeconds == 0);
}

void DataCentreTraffic::update(const Loads &loads, TimePoint now)
{
    m_updatedAt = now;
    for (const auto &[dataCentre, load] : loads) {
        if (load.waiting > 0) {
            home(dataCentre);
        }
    }
    for (auto &[dataCentre, known] : m_homes) {
        const auto load = loads.find(dataCentre);
        known.hasUpstream = load != loads.end() && load->second.hasUpstream;
        if (known.hasUpstream) {
            updateShare(known, dataCentre, loads, now);
        } else {
            known.share.setNoUpstream(now);
        }
    }
}

double DataCentreTraffic::of(const PlacementRequest &request, const UpstreamEntry &upstream) const
{
    if (upstream.dataCentre == request.dataCentre) {
        return 0;
    }
    const Duration delay = delayBetween(m_delays, request.dataCentre, upstream.dataCentre);
    const double crossing = crossingCost(bytesOf(request), targetSeconds(request), delay);
    const auto known = m_homes.find(request.dataCentre);
    if (known == m_homes.end()) {
        return crossing + homePreference;
    }
    if (!known->second.hasUpstream) {
        return crossing;
    }
    const double preference = isInShare(request, known->second.share.value()) ? 0 : homePreference;
    return crossing + preference + (known->second.observed > m_options.maxShare ? beyondMaxShareCost : 0);
}

std::vector<LeavingReport> DataCentreTraffic::reports(const ServiceId &service, TimePoint now) const
{
    const bool recent = now < m_updatedAt + reportValidity;
    std::vector<LeavingReport> reports;
    reports.reserve(m_homes.size());
    for (const auto &[dataCentre, known] : m_homes) {
        reports.push_back({service, dataCentre, recent ? known.share.value() : 0, recent ? known.observed : 0});
    }
    return reports;
}

DataCentreTraffic::Home &DataCentreTraffic::home(const DataCentreId &dataCentre)
{
    return m_homes.try_emplace(dataCentre, Home{LeavingShare(m_options.maxShare)}).first->second;
}

double DataCentreTraffic::crossingCost(double bytes, double targetSeconds, Duration delay) const
{
    return bytes / bytesPerGigabyte * m_options.pricePerGigabyte + 2 * Seconds(delay).count() / targetSeconds;
}

double DataCentreTraffic::waitSeconds(const DataCentreLoad &load, double demand) const
{
    const double beyond = std::max(0.0, demand - usableSlots * load.slots);
    return Seconds(load.backlog).count() + beyond / std::max(load.slots, 1U) * m_answerSeconds;
}

// The wait at home is that of the whole demand of the data centre, as if nothing left it. The requests that have left would otherwise hide the need for it.
void DataCentreTraffic::updateShare(Home &home, const DataCentreId &dataCentre, const Loads &loads, TimePoint now) const
{
    const DataCentreLoad &own = loads.at(dataCentre);
    const double target = std::max(home.targetSeconds, leastTargetSeconds);
    const double demand = std::max(home.running, own.requests) + own.waiting;
    const double waitHere = waitSeconds(own, demand);
    LeavingPrice best{0, std::numeric_limits<double>::infinity()};
    double excess = 0;
    for (const auto &[other, load] : loads) {
        if (other == dataCentre || load.slots == 0) {
            continue;
        }
        const double cost = crossingCost(home.bytes, target, delayBetween(m_delays, dataCentre, other));
        const LeavingPrice price{(waitHere - waitSeconds(load, load.requests + load.waiting)) / target, cost};
        if (price.gain - price.cost > best.gain - best.cost) {
            best = price;
            excess = excessShare(own, demand, Seconds(own.backlog - load.backlog).count(), target);
        }
    }
    home.share.update(best, excess, now);
}

}
