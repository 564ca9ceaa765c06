// Measures processor time and heap memory of the state machines at several sizes of the fleet or its load, and prints Markdown tables.
//
// Every table gives the measured sizes, the least-squares line through them and the line's value at the design scale of docs/design.md, section 1.6. The
// largest misfit is the largest distance of a measurement from the line, relative to the largest measurement. The exponent is the slope of the line through
// the logarithms of sizes and values: 1 is proportional, 2 quadratic growth. Times are processor time of the calling thread, the best of several runs;
// memory is what mallinfo2() counts as in use.

#include "Admission/LimitDivision.h"
#include "Admission/UpstreamDispatcher.h"
#include "Base/Hash.h"
#include "Base/Sha256.h"
#include "Config/ConfigurationReplica.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/EntryRouter.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireLoad.h"
#include "Daemon/WireMembership.h"
#include "Membership/HeartbeatPlan.h"
#include "Membership/HeartbeatSender.h"
#include "Membership/MembershipTable.h"
#include "Membership/OwnershipTable.h"
#include "Orders/OrderLedgerShard.h"
#include "Peer/PeerCodec.h"
#include "Routing/EstimatedFirstTokenChooser.h"
#include "Routing/PrefixIndex.h"
#include "Streams/StreamSession.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace Mangofall;

namespace {

constexpr std::size_t designHosts = 810;
constexpr std::size_t hostsPerDataCentre = 43;
constexpr std::size_t dataCentresPerRegion = 2; // 19 data centres in 9 regions
constexpr std::size_t designUpstreams = 10'000;
constexpr std::size_t designOrganisations = 11'000;
constexpr std::size_t modelCount = 6;
constexpr int runsPerMeasurement = 5;

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Microseconds of processor time per call: the lowest mean of several runs of \p calls calls each.
double microsecondsPerCall(std::size_t calls, const std::function<void()> &call)
{
    double best = std::numeric_limits<double>::max();
    for (int run = 0; run < runsPerMeasurement; ++run) {
        const double start = processorMicroseconds();
        for (std::size_t i = 0; i < calls; ++i) {
            call();
        }
        best = std::min(best, (processorMicroseconds() - start) / static_cast<double>(calls));
    }
    return best;
}

// Bytes of heap memory in use, including large allocations that have their own memory mapping.
double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/**
 * \class Series
 * \brief Table of quantities measured at several sizes, with a least-squares line through each quantity.
 */
class Series
{
public:
    Series(std::string title, std::string size, double designSize, std::vector<std::string> columns)
        : m_title(std::move(title))
        , m_sizeColumn(std::move(size))
        , m_designSize(designSize)
        , m_columns(std::move(columns))
    {
    }

    void add(double size, std::vector<double> values)
    {
        m_sizes.push_back(size);
        m_values.push_back(std::move(values));
    }

    void print() const
    {
        std::printf("### %s\n\n| %s |", m_title.c_str(), m_sizeColumn.c_str());
        for (const std::string &column : m_columns) {
            std::printf(" %s |", column.c_str());
        }
        std::printf("\n|%s", std::string("---:|").c_str());
        for (std::size_t i = 0; i < m_columns.size(); ++i) {
            std::printf("---:|");
        }
        std::printf("\n");
        for (std::size_t row = 0; row < m_sizes.size(); ++row) {
            printRow(formatNumber(m_sizes[row]), [&](std::size_t column) {
                return formatNumber(m_values[row][column]);
            });
        }
        printRow("intercept", [&](std::size_t column) {
            return formatNumber(line(column).intercept);
        });
        printRow("slope", [&](std::size_t column) {
            return formatNumber(line(column).slope);
        });
        printRow("line at " + formatNumber(m_designSize), [&](std::size_t column) {
            return misfit(column) > maxLinearMisfit ? std::string("not linear") : formatNumber(line(column).at(m_designSize));
        });
        printRow("largest misfit", [&](std::size_t column) {
            return formatNumber(std::round(100 * misfit(column))) + "%";
        });
        printRow("exponent", [&](std::size_t column) {
            return exponent(column);
        });
        std::printf("\n");
        std::fflush(stdout);
    }

private:
    struct Line {
        double intercept = 0;
        double slope = 0;

        double at(double size) const
        {
            return intercept + slope * size;
        }
    };

    static constexpr double maxLinearMisfit = 0.25; ///< Relative misfit above which the line is no valid prediction for other sizes.

    static std::string formatNumber(double value)
    {
        std::array<char, 32> text{};
        const int digits = std::abs(value) >= 100 || value == std::round(value) ? 0 : 2;
        if (value != 0 && std::abs(value) < 0.1) {
            std::snprintf(text.data(), text.size(), "%.2g", value);
        } else {
            std::snprintf(text.data(), text.size(), "%.*f", digits, value);
        }
        return text.data();
    }

    template<class Cell>
    void printRow(const std::string &label, Cell cell) const
    {
        std::printf("| %s |", label.c_str());
        for (std::size_t column = 0; column < m_columns.size(); ++column) {
            std::printf(" %s |", cell(column).c_str());
        }
        std::printf("\n");
    }

    static Line fitLine(const std::vector<double> &sizes, const std::vector<double> &values)
    {
        const auto count = static_cast<double>(sizes.size());
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (std::size_t row = 0; row < sizes.size(); ++row) {
            sumX += sizes[row];
            sumY += values[row];
            sumXx += sizes[row] * sizes[row];
            sumXy += sizes[row] * values[row];
        }
        const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
        return {(sumY - slope * sumX) / count, slope};
    }

    Line line(std::size_t column) const
    {
        std::vector<double> values;
        for (const std::vector<double> &row : m_values) {
            values.push_back(row[column]);
        }
        return fitLine(m_sizes, values);
    }

    std::string exponent(std::size_t column) const
    {
        std::vector<double> sizes;
        std::vector<double> values;
        for (std::size_t row = 0; row < m_sizes.size(); ++row) {
            if (m_sizes[row] <= 0 || m_values[row][column] <= 0) {
                return "-";
            }
            sizes.push_back(std::log(m_sizes[row]));
            values.push_back(std::log(m_values[row][column]));
        }
        return formatNumber(fitLine(sizes, values).slope);
    }

    double misfit(std::size_t column) const
    {
        double distance = 0;
        double largest = 0;
        for (std::size_t row = 0; row < m_sizes.size(); ++row) {
            const double value = m_values[row][column];
            distance = std::max(distance, std::abs(value - line(column).at(m_sizes[row])));
            largest = std::max(largest, std::abs(value));
        }
        return largest > 0 ? distance / largest : 0;
    }

    std::string m_title;
    std::string m_sizeColumn;
    double m_designSize;
    std::vector<std::string> m_columns;
    std::vector<double> m_sizes;
    std::vector<std::vector<double>> m_values;
};

HostId hostId(std::size_t index)
{
    return HostId("host-" + std::to_string(1000 + index));
}

DataCentreId dataCentreId(std::size_t index)
{
    return DataCentreId("data-centre-" + std::to_string(10 + index));
}

DataCentreId dataCentreOfHost(std::size_t index)
{
    return dataCentreId(index / hostsPerDataCentre);
}

RegionId regionOfHost(std::size_t index)
{
    return RegionId("region-" + std::to_string(index / hostsPerDataCentre / dataCentresPerRegion));
}

UpstreamId upstreamId(std::size_t index)
{
    return UpstreamId("runner-" + std::to_string(10'000 + index));
}

OrganisationId organisationId(std::size_t index)
{
    return OrganisationId("organisation-" + std::to_string(10'000 + index));
}

Membership::HostStatus statusOf(std::size_t index)
{
    return {.host = hostId(index),
            .incarnation = 1'764'800'000'000,
            .sequence = 1,
            .state = Membership::HostState::Alive,
            .dataCentre = dataCentreOfHost(index),
            .region = regionOfHost(index),
            .address = "10.10.100." + std::to_string(index % hostsPerDataCentre),
            .port = 7400,
            .revision = 100'000};
}

Membership::Heartbeat heartbeatOf(std::size_t index)
{
    const Membership::HostStatus status = statusOf(index);
    Membership::Heartbeat heartbeat;
    heartbeat.host = status.host;
    heartbeat.incarnation = status.incarnation;
    heartbeat.sequence = status.sequence;
    heartbeat.dataCentre = status.dataCentre;
    heartbeat.region = status.region;
    heartbeat.address = status.address;
    heartbeat.port = status.port;
    heartbeat.revision = status.revision;
    return heartbeat;
}

LoadSummary loadOf(std::size_t upstream)
{
    LoadSummary load;
    load.upstream = upstreamId(upstream);
    load.state = UpstreamState::Warm;
    load.caps = {.requests = 32, .prefillTokens = 1'000'000};
    load.inFlightRequests = static_cast<std::uint32_t>(upstream % 24);
    load.inFlightPrefillTokens = {2'000 + upstream, 0, 0};
    load.prefillRate = 50'000;
    load.residence = Seconds(16);
    return load;
}

std::vector<std::uint8_t> frameOf(const Wire::PeerMessageT &message)
{
    std::vector<std::uint8_t> buffer;
    appendFrame(buffer, message);
    return buffer;
}

std::size_t frameBytes(const Membership::Heartbeat &heartbeat)
{
    return frameOf(toMessage(toWire(heartbeat))).size();
}

Membership::DataCentreDigest digestOf(std::size_t dataCentre, std::uint64_t sequence)
{
    const std::size_t first = dataCentre * hostsPerDataCentre;
    Membership::DataCentreDigest digest;
    digest.dataCentre = dataCentreId(dataCentre);
    digest.region = regionOfHost(first);
    digest.sender = hostId(first);
    digest.senderIncarnation = statusOf(first).incarnation;
    digest.sequence = sequence;
    for (std::size_t claim = 0; claim < Membership::claimsPerDigest; ++claim) {
        digest.hosts.push_back(statusOf(first + claim));
        digest.hosts.back().sequence = sequence;
    }
    return digest;
}

struct Traffic {
    double messages = 0; ///< Messages per second, sent and received.
    double planned = 0; ///< Bytes per second with the message sizes that the heartbeat plan assumes.
    double encoded = 0; ///< Bytes per second with the sizes of the encoded frames.
    double meshSeconds = 0; ///< Interval between heartbeats to hosts of the same data centre, in seconds.
};

Membership::Heartbeat heartbeatWithLoads(std::size_t upstreams)
{
    Membership::Heartbeat heartbeat = heartbeatOf(0);
    std::vector<LoadSummary> loads;
    for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
        loads.push_back(loadOf(upstream));
    }
    heartbeat.loadSummary = loads.empty() ? std::string() : encodeLoadReport(loads);
    return heartbeat;
}

// Heartbeat traffic of the host with the most encoded bytes per second. The daemon sends no load in digests of data centres with more than 64 upstreams.
Traffic trafficOf(const Membership::HeartbeatPlan &plan, std::size_t hosts)
{
    constexpr double packetHeaders = 2.0 * Membership::packetHeaderBytes;
    constexpr std::size_t upstreamsPerHost = 12;
    const auto plainBytes = static_cast<double>(frameBytes(heartbeatOf(0))) + packetHeaders;
    const auto bytesWithLoads = static_cast<double>(frameBytes(heartbeatWithLoads(upstreamsPerHost))) + packetHeaders;
    Membership::Heartbeat withDigest = heartbeatOf(0);
    withDigest.digests.push_back(digestOf(0, 1));
    const double digestBytes = static_cast<double>(frameBytes(withDigest)) + packetHeaders - plainBytes;
    Traffic busiest;
    for (std::size_t index = 0; index < hosts; ++index) {
        const Membership::HeartbeatTrafficCounts counts = plan.trafficCountsOf(hostId(index));
        const double meshIntervalSeconds = Seconds(plan.meshInterval(hostId(index))).count();
        const double linkIntervalSeconds = Seconds(plan.linkInterval(hostId(index))).count();
        const double watchIntervalSeconds = Seconds(plan.watchInterval()).count();
        const auto peers = static_cast<double>(counts.hosts - 1);
        const auto watchers = static_cast<double>(2 * counts.watchers);
        const auto links = static_cast<double>(counts.linksOut + counts.linksIn);
        const double relayed = peers * static_cast<double>(counts.linksIn) + static_cast<double>(counts.dataCentreLinksIn);
        const double encoded = watchers * plainBytes / watchIntervalSeconds + (2 * peers * bytesWithLoads + relayed * digestBytes) / meshIntervalSeconds
            + links * (digestBytes + packetHeaders) / linkIntervalSeconds;
        if (encoded > busiest.encoded) {
            busiest = {.messages = watchers / watchIntervalSeconds + 2 * peers / meshIntervalSeconds + links / linkIntervalSeconds,
                       .planned = plan.trafficOf(hostId(index)),
                       .encoded = encoded,
                       .meshSeconds = meshIntervalSeconds};
        }
    }
    return busiest;
}

// Bytes of the body with which the platform answers `GET /hosts`.
double hostListBytes(std::size_t hosts)
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t index = 0; index < hosts; ++index) {
        const Membership::HostStatus status = statusOf(index);
        list.push_back({{"id", status.host.value()}, {"address", status.address + ":7400"}, {"dataCentre", status.dataCentre.value()}, {"state", "live"}});
    }
    return static_cast<double>(list.dump().size());
}

void measureMembership()
{
    Series state("Membership state and heartbeats",
                 "hosts",
                 designHosts,
                 {"heap bytes", "us per heartbeat", "us per decoded heartbeat", "us per digest", "us per tick", "us per plan", "us per host list"});
    Series traffic(
        "Heartbeat plan, busiest host", "hosts", designHosts, {"messages/s", "B/s by the plan", "B/s as encoded", "mesh interval s", "B of the host list"});
    for (const std::size_t hosts : {43U, 172U, 344U, 602U, 810U}) {
        const double heapBefore = heapBytes();
        auto table = std::make_unique<Membership::MembershipTable>(heartbeatOf(0), Membership::MembershipSettings{});
        TimePoint now{std::chrono::seconds(100)};
        std::vector<Membership::PlannedHost> planned;
        for (std::size_t index = 0; index < hosts; ++index) {
            planned.push_back({hostId(index), dataCentreOfHost(index)});
        }
        for (std::size_t first = 0; first < hosts; first += hostsPerDataCentre) {
            Membership::DataCentreRoster roster{dataCentreOfHost(first), regionOfHost(first), {}};
            for (std::size_t index = first; index < std::min(hosts, first + hostsPerDataCentre); ++index) {
                roster.hosts[hostId(index)] = statusOf(index);
                if (first == 0 && index > 0) {
                    table->handle(Membership::HeartbeatReceived{heartbeatOf(index)}, now);
                }
            }
            if (first > 0) {
                table->handle(Membership::RosterReceived{roster}, now);
                table->handle(Membership::DigestReceived{digestOf(first / hostsPerDataCentre, 1)}, now);
            }
        }
        const double bytes = heapBytes() - heapBefore;
        std::uint64_t sequence = 1;
        Membership::Heartbeat heartbeat = heartbeatOf(1);
        const double handling = microsecondsPerCall(2'000, [&] {
            heartbeat.sequence = ++sequence;
            table->handle(Membership::HeartbeatReceived{heartbeat}, now);
        });
        const double decoding = microsecondsPerCall(2'000, [&] {
            heartbeat.sequence = ++sequence;
            const std::vector<std::uint8_t> frame = frameOf(toMessage(toWire(heartbeat)));
            Wire::PeerMessageT message;
            decodeFrame(std::span(frame).subspan(frameHeaderBytes), message);
            table->handle(Membership::HeartbeatReceived{fromWire(*message.body.AsHeartbeat())}, now);
        });
        const std::size_t remote = hosts > hostsPerDataCentre ? 1 : 0;
        const double digest = microsecondsPerCall(1'000, [&] {
            table->handle(Membership::DigestReceived{digestOf(remote, ++sequence)}, now);
        });
        const double tick = microsecondsPerCall(200, [&] {
            table->handle(Membership::MembershipTick{}, now);
        });
        const double planning = microsecondsPerCall(2, [&] {
            const Membership::HeartbeatPlan plan(planned, {});
            table->handle(
                Membership::ExpectationsChanged{plan.meshInterval(hostId(0)), plan.watchedBy(hostId(0)), plan.watchInterval(), plan.linkInterval(hostId(0))},
                now);
        });
        Membership::HostListReceived list;
        for (std::size_t index = 1; index < hosts; ++index) {
            const Membership::HostStatus status = statusOf(index);
            list.hosts.push_back({status.host, status.dataCentre, status.region, status.address, status.port, false});
        }
        const double listing = microsecondsPerCall(20, [&] {
            table->handle(list, now);
        });
        const auto size = static_cast<double>(hosts);
        state.add(size, {bytes, handling, decoding, digest, tick, planning, listing});
        const Traffic busiest = trafficOf(Membership::HeartbeatPlan(planned, {}), hosts);
        traffic.add(size, {busiest.messages, busiest.planned, busiest.encoded, busiest.meshSeconds, hostListBytes(hosts)});
    }
    state.print();
    traffic.print();
    Series sizes("Heartbeat frame by the upstreams that the host dispatches for", "upstreams", 12, {"frame bytes", "bytes by the plan"});
    for (const std::size_t upstreams : {0U, 6U, 12U, 24U}) {
        constexpr std::size_t plannedLoadBytes = 8;
        const std::size_t planned = Membership::heartbeatBytes + frameHeaderBytes + upstreams * plannedLoadBytes;
        sizes.add(static_cast<double>(upstreams), {static_cast<double>(frameBytes(heartbeatWithLoads(upstreams))), static_cast<double>(planned)});
    }
    sizes.print();
}

std::vector<double> measureOwnership(std::size_t upstreams, std::uint32_t shards)
{
    Membership::KeysChanged keys;
    for (std::size_t index = 0; index < upstreams; ++index) {
        keys.upstreams[upstreamId(index)] = dataCentreOfHost(index % designHosts);
    }
    keys.shards[regionOfHost(0)] = shards;
    Membership::HostsChanged hosts;
    for (std::size_t index = 0; index < designHosts; ++index) {
        hosts.hosts.push_back(statusOf(index));
    }
    const double heapBefore = heapBytes();
    Membership::OwnershipTable table;
    table.handle(hosts);
    table.handle(keys);
    const double bytes = heapBytes() - heapBefore;
    bool leaving = false;
    const double recomputation = microsecondsPerCall(2, [&] {
        leaving = !leaving;
        hosts.hosts.front().state = leaving ? Membership::HostState::Leaving : Membership::HostState::Alive;
        table.handle(hosts);
    });
    return {bytes, recomputation};
}

void measureOwnership()
{
    Series upstreams("Ownership recomputation at 810 hosts", "upstreams", designUpstreams, {"heap bytes", "us per recomputation"});
    for (const std::size_t size : {1'000U, 2'500U, 5'000U, 10'000U}) {
        upstreams.add(static_cast<double>(size), measureOwnership(size, 8));
    }
    upstreams.print();
    Series shards("Ownership of ledger shards, no upstreams", "shards of the region", 8, {"heap bytes", "us per recomputation"});
    for (const std::uint32_t size : {8U, 64U, 256U, 1'024U}) {
        shards.add(size, measureOwnership(0, size));
    }
    shards.print();
}

UpstreamSpec upstreamSpec(std::size_t index)
{
    UpstreamSpec spec;
    spec.id = upstreamId(index);
    spec.dataCentre = dataCentreOfHost(index % designHosts);
    spec.address = "10.20.30.40";
    spec.port = 8000;
    spec.model = ModelId("model-" + std::to_string(index % modelCount));
    return spec;
}

FleetConfiguration configurationOf(std::size_t organisations, std::size_t upstreams, std::size_t changes)
{
    FleetConfiguration configuration;
    configuration.revision = 100'000;
    for (const char *name : {"ordinary", "peak", "maintenance"}) {
        Preset preset;
        preset.name = PresetName(name);
        configuration.presets[preset.name] = preset;
    }
    configuration.presetInForce = PresetName("ordinary");
    for (std::size_t index = 0; index < organisations; ++index) {
        OrganisationSpec organisation;
        organisation.id = organisationId(index);
        organisation.apiKeyHash = sha256Hex(organisation.id.value());
        organisation.requestsPerSecond = 100;
        organisation.tokensInFlight = 1'000'000;
        configuration.organisations[organisation.id] = organisation;
    }
    for (std::size_t index = 0; index < upstreams; ++index) {
        configuration.upstreams[upstreamId(index)] = upstreamSpec(index);
    }
    for (std::size_t change = 0; change < changes; ++change) {
        const Revision revision = configuration.revision - changes + change + 1;
        configuration.recentChanges.push_back(
            {ChangeId("change-0123456789abcdef-" + std::to_string(revision)), revision, WallTime{}, "Changed the limits of one organisation."});
    }
    return configuration;
}

// Changes the limit of one organisation, the most frequent kind of change, and increments the revision.
void changeOneOrganisation(FleetConfiguration &configuration)
{
    ++configuration.revision;
    const std::size_t index = configuration.revision * 7'919 % configuration.organisations.size();
    std::next(configuration.organisations.begin(), static_cast<std::ptrdiff_t>(index))->second.requestsPerSecond += 1;
    configuration.recentChanges.erase(configuration.recentChanges.begin());
    configuration.recentChanges.push_back({ChangeId("change-0123456789abcdef-" + std::to_string(configuration.revision)),
                                           configuration.revision,
                                           WallTime{},
                                           "Changed the limits of one organisation."});
}

std::size_t bytesOf(const ConfigurationBlobs &blobs)
{
    std::size_t bytes = 0;
    for (const auto &[hash, text] : blobs) {
        bytes += text.size();
    }
    return bytes;
}

void measureConfiguration()
{
    constexpr std::size_t adoptions = 40;
    Series series(
        "Configuration, upstreams = 10/11 of the organisations, 150 recent changes",
        "organisations",
        designOrganisations,
        {"heap bytes of a replica", "root bytes", "blobs", "blob bytes", "us per split", "us per full join", "us per adoption", "blob bytes per change"});
    for (const std::size_t organisations : {1'000U, 3'000U, 6'000U, 11'000U}) {
        FleetConfiguration configuration = configurationOf(organisations, organisations * 10 / 11, maxRecentChanges);
        const SplitConfiguration split = splitConfiguration(configuration);
        const double splitting = microsecondsPerCall(1, [&] {
            splitConfiguration(configuration);
        });
        const double joining = microsecondsPerCall(1, [&] {
            ConfigurationProblems problems;
            joinConfiguration(split.root, split.blobs, problems);
        });
        RandomEngine random(1);
        const TimePoint now{std::chrono::seconds(100)};
        std::vector<RootOffered> offers;
        double changedBytes = 0;
        ConfigurationBlobs known = split.blobs;
        for (std::size_t change = 0; change < adoptions; ++change) {
            changeOneOrganisation(configuration);
            SplitConfiguration next = splitConfiguration(configuration);
            RootOffered offer{{HostId("peer")}, encodeRoot(next.root), {}};
            for (const auto &[hash, text] : next.blobs) {
                if (!known.contains(hash)) {
                    offer.blobs[hash] = text;
                }
            }
            changedBytes += static_cast<double>(bytesOf(offer.blobs)) / static_cast<double>(adoptions);
            known = std::move(next.blobs);
            offers.push_back(std::move(offer));
        }
        const double heapBefore = heapBytes();
        ConfigurationReplica replica(random);
        replica.start(now);
        replica.handle(RootOffered{{}, encodeRoot(split.root), split.blobs}, now);
        const double bytes = heapBytes() - heapBefore;
        double adopting = std::numeric_limits<double>::max();
        for (const RootOffered &offer : offers) {
            const double start = processorMicroseconds();
            replica.handle(offer, now);
            adopting = std::min(adopting, processorMicroseconds() - start);
        }
        if (replica.revision() != configuration.revision) {
            std::fprintf(stderr, "capacity-slopes: the replica did not adopt revision %llu\n", static_cast<unsigned long long>(configuration.revision));
            std::exit(1);
        }
        series.add(static_cast<double>(organisations),
                   {bytes,
                    static_cast<double>(encodeRoot(split.root).size()),
                    static_cast<double>(split.blobs.size()),
                    static_cast<double>(bytesOf(split.blobs)),
                    splitting,
                    joining,
                    adopting,
                    changedBytes});
    }
    series.print();
    Series revisions("Root by recent changes, 11,000 organisations and 10,000 upstreams", "recent changes", maxRecentChanges, {"root bytes"});
    for (const std::size_t changes : {0U, 50U, 100U, 150U}) {
        const SplitConfiguration split = splitConfiguration(configurationOf(designOrganisations, designUpstreams, changes));
        revisions.add(static_cast<double>(changes), {static_cast<double>(encodeRoot(split.root).size())});
    }
    revisions.print();
}

std::shared_ptr<ControlSnapshot> snapshotOf(std::shared_ptr<const RoutingIndex> routing)
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    for (const auto &[id, spec] : routing->configuration().upstreams) {
        snapshot->dispatchers[id] = hostId(hash64(id.value()) % designHosts);
    }
    for (std::size_t index = 0; index < designHosts; ++index) {
        snapshot->peers[hostId(index)] = {"10.10.100.1", 7400};
    }
    snapshot->routing = std::move(routing);
    return snapshot;
}

void measureSnapshots()
{
    Series series("Routing snapshot, 6 models, 11,000 organisations",
                  "upstreams",
                  designUpstreams,
                  {"heap bytes of index and snapshot", "us per index", "us per snapshot", "heap bytes of a router", "us per adoption by a traffic thread"});
    for (const std::size_t upstreams : {1'000U, 2'500U, 5'000U, 10'000U}) {
        const auto configuration = std::make_shared<const FleetConfiguration>(configurationOf(designOrganisations, upstreams, 0));
        const double heapBefore = heapBytes();
        auto routing = std::make_shared<const RoutingIndex>(configuration);
        auto snapshot = snapshotOf(routing);
        const double bytes = heapBytes() - heapBefore;
        const double indexing = microsecondsPerCall(1, [&] {
            std::make_shared<const RoutingIndex>(configuration);
        });
        const double copying = microsecondsPerCall(1, [&] {
            snapshotOf(routing);
        });
        const double heapBeforeRouter = heapBytes();
        EntryRouter router(1);
        router.setSnapshot(snapshot);
        const double routerBytes = heapBytes() - heapBeforeRouter;
        const double adopting = microsecondsPerCall(1, [&] {
            router.setSnapshot(snapshot);
        });
        series.add(static_cast<double>(upstreams), {bytes, indexing, copying, routerBytes, adopting});
    }
    series.print();
}

void measureChoice()
{
    constexpr std::size_t designPool = 1'667; // 10,000 upstreams, 6 models
    Series series("Entry routing per request",
                  "candidates in the pool",
                  designPool,
                  {"us per choice, 4 new blocks", "us per choice, 64 new blocks", "us of the policy alone", "us per load update"});
    for (const std::size_t pool : {100U, 400U, 800U, 1'667U}) {
        FleetConfiguration configuration = configurationOf(1, pool, 0);
        for (auto &[id, spec] : configuration.upstreams) {
            spec.model = ModelId("model");
        }
        auto routing = std::make_shared<const RoutingIndex>(std::make_shared<const FleetConfiguration>(std::move(configuration)));
        EntryRouter router(1);
        router.setSnapshot(snapshotOf(routing));
        std::vector<UpstreamView> views;
        for (std::size_t index = 0; index < pool; ++index) {
            router.updateLoad(loadOf(index));
            views.push_back(toView(loadOf(index)));
        }
        RequestProfile request;
        request.model = ModelId("model");
        request.promptTokens = 2'000;
        std::uint64_t block = 0;
        std::vector<double> values;
        for (const std::size_t blocks : {4U, 64U}) {
            values.push_back(microsecondsPerCall(50, [&] {
                request.prefixBlocks.resize(blocks);
                for (std::uint64_t &hash : request.prefixBlocks) {
                    hash = ++block;
                }
                router.choose(request, {});
            }));
        }
        FirstTokenEstimator estimator;
        EstimatedFirstTokenChooser chooser(estimator, Preset().choices, Preset().shortWeight);
        values.push_back(microsecondsPerCall(200, [&] {
            chooser.choose(request, views, router.random());
        }));
        std::size_t next = 0;
        values.push_back(microsecondsPerCall(200, [&] {
            router.updateLoad(loadOf(next++ % pool));
        }));
        series.add(static_cast<double>(pool), values);
    }
    series.print();
}

void measurePrefixIndex()
{
    constexpr std::size_t blocksPerPrompt = 64;
    Series series(
        "Prefix index of one traffic thread", "entries", 200'000, {"heap bytes", "us per recorded prompt of 64 blocks", "us per look-up of 64 cached blocks"});
    for (const std::size_t entries : {25'000U, 50'000U, 100'000U, 200'000U}) {
        const double heapBefore = heapBytes();
        PrefixIndex index(entries);
        std::uint64_t block = 0;
        std::vector<std::uint64_t> blocks(blocksPerPrompt);
        const auto record = [&] {
            for (std::uint64_t &entry : blocks) {
                entry = ++block;
            }
            index.recordRoute(upstreamId(block % designUpstreams), blocks);
        };
        while (index.entryCount() < entries) {
            record();
        }
        const double bytes = heapBytes() - heapBefore;
        const double recording = microsecondsPerCall(500, record);
        const UpstreamId last = upstreamId(block % designUpstreams);
        const double lookup = microsecondsPerCall(500, [&] {
            if (index.cachedBlocks(last, blocks) != blocks.size()) {
                std::fprintf(stderr, "capacity-slopes: the prefix index does not hold all blocks of the last recorded prompt\n");
                std::exit(1);
            }
        });
        series.add(static_cast<double>(entries), {bytes, recording, lookup});
    }
    series.print();
}

std::map<LimitKey, LimitUnits> limitsOf(std::size_t organisations)
{
    std::map<LimitKey, LimitUnits> limits;
    for (std::size_t index = 0; index < organisations; ++index) {
        limits[{organisationId(index), LimitKind::RequestRate}] = 1'000'000;
        limits[{organisationId(index), LimitKind::TokensInFlight}] = 1'000'000;
    }
    return limits;
}

void measureLimitAllocators()
{
    constexpr std::size_t limitsPerGroup = 21; // 22,000 limits (two for each of 11,000 organisations) in 1,024 groups
    Series series("Allocator of one group of limits, 21 limits, all hosts request all", "hosts", designHosts, {"heap bytes", "us per demand"});
    const auto limits = limitsOf((limitsPerGroup + 1) / 2);
    for (const std::size_t hosts : {100U, 200U, 400U, 810U}) {
        const TimePoint now{std::chrono::seconds(100)};
        LimitDemand demand;
        for (const auto &[key, limit] : limits) {
            demand.entries.push_back({.key = key, .demand = 1'000, .adopted = 0});
        }
        const double heapBefore = heapBytes();
        LimitAllocator allocator(0, 1, {});
        allocator.handle(LimitsChanged{limits}, now);
        allocator.handle(AllocationAllowed{now + std::chrono::hours(1)}, now);
        allocator.handle(ClientCountChanged{hosts}, now);
        std::size_t sequence = 0;
        const auto allocate = [&] {
            demand.host = hostId(sequence % hosts);
            demand.sequence = ++sequence;
            demand.term = 1;
            for (LimitDemandEntry &entry : demand.entries) {
                entry.adopted = sequence;
            }
            allocator.handle(LimitDemandReceived{demand}, now);
        };
        for (std::size_t host = 0; host < hosts; ++host) {
            allocate();
        }
        const double bytes = heapBytes() - heapBefore;
        series.add(static_cast<double>(hosts), {bytes, microsecondsPerCall(20, allocate)});
    }
    series.print();
}

void measureLimitClients()
{
    Series series("Client with demand for all limits of the organisations, 810 hosts",
                  "organisations",
                  designOrganisations,
                  {"heap bytes", "us per tick without reports", "us per observation", "B/s by the division", "store writes/s of the fleet"});
    for (const std::size_t organisations : {100U, 300U, 1'000U, 3'000U, 6'000U, 11'000U}) {
        TimePoint now{std::chrono::seconds(1'000)};
        const double heapBefore = heapBytes();
        LimitClient client(hostId(0), 1, {});
        client.handle(LimitsChanged{limitsOf(organisations)}, now);
        AllocatorsChanged allocators;
        for (std::uint32_t group = 0; group < LimitDivisionSettings().groups; ++group) {
            allocators.allocators[group] = hostId(group % designHosts);
        }
        client.handle(allocators, now);
        std::size_t next = 0;
        const auto observe = [&] {
            client.handle(DemandObserved{{organisationId(next++ % organisations), LimitKind::RequestRate}, 100}, now);
        };
        for (std::size_t index = 0; index < organisations; ++index) {
            observe();
            client.handle(DemandObserved{{organisationId(index), LimitKind::TokensInFlight}, 100}, now);
        }
        const double observation = microsecondsPerCall(1'000, observe);
        for (const LimitClientAction &action : client.handle(LimitClientTick{}, now)) {
            const LimitDemand &demand = std::get<SendLimitDemand>(action).demand;
            LimitGrant grant{.host = demand.host,
                             .incarnation = demand.incarnation,
                             .sequence = demand.sequence,
                             .group = demand.group,
                             .term = 1,
                             .validity = std::chrono::seconds(450),
                             .entries = {}};
            for (const LimitDemandEntry &entry : demand.entries) {
                grant.entries.push_back({entry.key, 1'000});
            }
            client.handle(LimitGrantReceived{grant}, now);
        }
        const double bytes = heapBytes() - heapBefore;
        const double tick = microsecondsPerCall(5, [&] {
            client.handle(LimitClientTick{}, now);
        });
        const LimitTraffic traffic = estimateLimitTraffic(designHosts, static_cast<std::uint32_t>(2 * organisations), {});
        series.add(static_cast<double>(organisations), {bytes, tick, observation, traffic.bytesPerSecond, traffic.storeWritesPerSecond});
    }
    series.print();
}

QueuedAttempt attemptOf(std::uint64_t sequence, TimePoint now)
{
    QueuedAttempt attempt;
    attempt.attempt = {1, 1, sequence};
    attempt.organisation = organisationId(sequence % 100);
    attempt.promptTokens = 2'000;
    attempt.uncachedTokens = 2'000;
    attempt.arrival = now;
    attempt.deadline = now + std::chrono::hours(1);
    return attempt;
}

// Measures a dispatcher whose upstream has \p inFlight attempts in flight while \p queued attempts wait.
std::vector<double> measureDispatcher(std::uint32_t inFlight, std::size_t queued)
{
    UpstreamSpec spec = upstreamSpec(0);
    spec.maxRequests = inFlight;
    spec.coldRequests = inFlight;
    spec.coldPrefillTokens = spec.maxPrefillTokens;
    Preset preset;
    preset.queueLimit = 4'096;
    TimePoint now{std::chrono::seconds(100)};
    const double heapBefore = heapBytes();
    UpstreamDispatcher dispatcher(spec, preset);
    std::uint64_t sequence = 0;
    std::deque<AttemptId> sent;
    const auto handle = [&](const DispatcherInput &event) {
        now += std::chrono::microseconds(1);
        for (const DispatcherOutput &output : dispatcher.handle(now, event)) {
            if (const auto *send = std::get_if<DispatcherAction::Send>(&output)) {
                sent.push_back(send->attempt);
            }
        }
    };
    for (std::size_t index = 0; index < inFlight + queued; ++index) {
        handle(DispatcherEvent::Enqueued{attemptOf(++sequence, now)});
    }
    const double bytes = heapBytes() - heapBefore;
    const double tick = microsecondsPerCall(50, [&] {
        handle(DispatcherEvent::Tick{});
    });
    const double request = microsecondsPerCall(50, [&] {
        const AttemptId attempt = sent.front();
        sent.pop_front();
        handle(DispatcherEvent::Enqueued{attemptOf(++sequence, now)});
        handle(DispatcherEvent::Started{attempt});
        handle(DispatcherEvent::FirstToken{attempt});
        handle(DispatcherEvent::Finished{attempt});
    });
    return {bytes, tick, request, static_cast<double>(dispatcher.summary().queuedRequests), static_cast<double>(dispatcher.inFlight().size())};
}

void measureDispatchers()
{
    const std::vector<std::string> columns = {"heap bytes", "us per tick", "us per request (4 events)", "queued at the end", "in flight at the end"};
    Series queue("Dispatcher of one upstream, 32 in flight", "queued", 256, columns);
    for (const std::size_t queued : {0U, 32U, 64U, 128U, 256U}) {
        queue.add(static_cast<double>(queued), measureDispatcher(32, queued));
    }
    queue.print();
    Series inFlightSeries("Dispatcher of one upstream, 16 queued", "in flight", 32, columns);
    for (const std::uint32_t inFlight : {4U, 8U, 16U, 32U, 64U}) {
        inFlightSeries.add(inFlight, measureDispatcher(inFlight, 16));
    }
    inFlightSeries.print();
}

/**
 * \class LedgerSimulation
 * \brief Ledger shard with a fixed number of concurrent orders. Upstream and store answer at once.
 *
 * Each answer of the store advances the simulated time by 2 ms.
 */
class LedgerSimulation
{
public:
    LedgerSimulation()
        : m_shard("head", "host/1", {})
    {
        perform(m_shard.handle(Orders::BecomeOwner{}, m_now));
        answerStoreCalls(0);
    }

    // Processes about \p orders orders, at most \p concurrent of them at a time.
    void process(std::size_t orders, std::size_t concurrent)
    {
        const std::uint64_t last = m_done + orders;
        m_startLimit = m_started + orders;
        for (std::size_t order = 0; order < concurrent; ++order) {
            startOrder();
        }
        answerStoreCalls(last);
    }

    std::uint64_t calls() const
    {
        return m_calls;
    }

    std::uint64_t done() const
    {
        return m_done;
    }

    double headBytes() const
    {
        return static_cast<double>(m_shard.headBytes());
    }

private:
    void startOrder()
    {
        if (m_started >= m_startLimit) {
            return;
        }
        ++m_started;
        Orders::OrderClaim claim;
        claim.key = OrderKey("organisation-10001/orders/" + contentHash(std::to_string(m_started)));
        claim.attempt = {1, 1, m_started};
        claim.bodyHash = "0123456789abcdef0123456789abcdef";
        claim.organisation = organisationId(1);
        claim.service = ServiceId("orders");
        claim.upstream = upstreamId(1);
        perform(m_shard.handle(Orders::ClaimOrder{claim}, m_now));
    }

    void answerStoreCalls(std::uint64_t last)
    {
        while (!m_answers.empty() && (last == 0 || m_done < last)) {
            const Orders::StoreAnswered answer = std::move(m_answers.front());
            m_answers.pop_front();
            m_now += std::chrono::milliseconds(2);
            perform(m_shard.handle(answer, m_now));
        }
    }

    void perform(Orders::LedgerActions actions)
    {
        for (Orders::LedgerAction &action : actions) {
            if (const auto *read = std::get_if<Orders::ReadKey>(&action)) {
                ++m_calls;
                m_answers.push_back({read->call, m_version == 0 ? Orders::StoreStatus::NotFound : Orders::StoreStatus::Ok, m_version, m_value});
            } else if (auto *write = std::get_if<Orders::WriteKey>(&action)) {
                ++m_calls;
                m_value = std::move(write->value);
                m_answers.push_back({write->call, Orders::StoreStatus::Ok, ++m_version, {}});
            } else if (const auto *granted = std::get_if<Orders::ClaimGranted>(&action)) {
                const Orders::OrderResolution resolution{true, Orders::ResolutionSource::UpstreamAnswer, {200, "application/json", "{\"ok\":true}", {}, false}};
                perform(m_shard.handle(Orders::ResolveOrder{granted->key, granted->attempt, resolution}, m_now));
            } else if (std::holds_alternative<Orders::OrderRecorded>(action)) {
                ++m_done;
                startOrder();
            } else if (std::holds_alternative<Orders::ClaimRefused>(action)) {
                std::fprintf(stderr, "capacity-slopes: the ledger shard refused the claim of an order\n");
                std::exit(1);
            }
        }
    }

    Orders::OrderLedgerShard m_shard;
    TimePoint m_now{std::chrono::seconds(100)};
    std::deque<Orders::StoreAnswered> m_answers;
    Orders::StoreVersion m_version = 0;
    std::string m_value;
    std::uint64_t m_started = 0;
    std::uint64_t m_startLimit = 0;
    std::uint64_t m_done = 0;
    std::uint64_t m_calls = 0;
};

void measureLedgers()
{
    constexpr std::size_t fillConcurrency = 256;
    constexpr std::size_t ordersPerRun = 20;
    // Four full batches per run: the orders of all five runs together stay below the limit on the size of the head.
    constexpr std::size_t batchesPerRun = 4;
    Series heads("Ledger shard by the orders that its head remembers, one order at a time",
                 "orders in the head",
                 8'000,
                 {"heap bytes", "head bytes", "us per commit", "store calls per order"});
    for (const std::size_t records : {500U, 1'000U, 2'000U, 4'000U}) {
        const double heapBefore = heapBytes();
        LedgerSimulation ledger;
        ledger.process(records, fillConcurrency);
        const double bytes = heapBytes() - heapBefore;
        const double head = ledger.headBytes();
        const std::uint64_t calls = ledger.calls();
        const std::uint64_t done = ledger.done();
        const double order = microsecondsPerCall(1, [&] {
            ledger.process(ordersPerRun, 1);
        });
        const auto callsMade = static_cast<double>(ledger.calls() - calls);
        heads.add(static_cast<double>(records), {bytes, head, order * runsPerMeasurement / callsMade, callsMade / static_cast<double>(ledger.done() - done)});
    }
    heads.print();
    Series batches(
        "Ledger shard with 1,000 to 3,560 orders in its head, by concurrent orders", "concurrent orders", 128, {"us per order", "store calls per order"});
    for (const std::size_t concurrent : {1U, 8U, 32U, 128U}) {
        LedgerSimulation ledger;
        ledger.process(1'000, fillConcurrency);
        const std::uint64_t calls = ledger.calls();
        const std::uint64_t done = ledger.done();
        const double run = microsecondsPerCall(1, [&] {
            ledger.process(batchesPerRun * concurrent, concurrent);
        });
        const auto orders = static_cast<double>(ledger.done() - done);
        batches.add(static_cast<double>(concurrent), {run * runsPerMeasurement / orders, static_cast<double>(ledger.calls() - calls) / orders});
    }
    batches.print();
}

constexpr std::size_t tokenBytes = 4;

// Heap bytes of \p count sessions that have delivered \p tokens tokens each, and microseconds per further token of one session.
std::vector<double> measureSessions(std::size_t count, std::uint32_t tokens)
{
    RandomEngine random(1);
    RetryBudget budget(RetryLimits{});
    TimePoint now{std::chrono::seconds(100)};
    const double heapBefore = heapBytes();
    std::vector<std::unique_ptr<StreamSession>> sessions;
    for (std::size_t index = 0; index < count; ++index) {
        StreamRequest request{RequestId("request-0123456789abcdef-" + std::to_string(index)), organisationId(index), true, now + std::chrono::hours(1)};
        sessions.push_back(std::make_unique<StreamSession>(std::move(request), StreamLimits{}, budget, random));
        const auto actions = sessions.back()->start(now);
        sessions.back()->handle(UpstreamChosen{std::get<ChooseUpstream>(actions.front()).choice, upstreamId(1), {1, 1, index}}, now);
    }
    const std::string text(tokenBytes, 'x');
    const auto deliver = [&](std::uint32_t token) {
        for (std::size_t index = 0; index < count; ++index) {
            sessions[index]->handle(TokenReceived{{1, 1, index}, 1, token, text}, now);
            sessions[index]->handle(CallerReady{}, now);
        }
    };
    for (std::uint32_t token = 0; token < tokens; ++token) {
        deliver(token);
    }
    const double bytes = heapBytes() - heapBefore;
    std::uint32_t next = tokens;
    const double delivery = microsecondsPerCall(std::max<std::size_t>(1, 2'000 / count), [&] {
        deliver(next++);
    });
    return {bytes, delivery / static_cast<double>(count)};
}

void measureStreams()
{
    const std::vector<std::string> columns = {"heap bytes", "us per token"};
    Series sessions("Stream sessions with 150 delivered tokens of 4 bytes", "sessions", 1'467, columns);
    for (const std::size_t count : {100U, 400U, 800U, 1'467U}) {
        sessions.add(static_cast<double>(count), measureSessions(count, 150));
    }
    sessions.print();
    Series tokens("One hundred stream sessions by delivered tokens", "tokens", 301, columns);
    for (const std::uint32_t count : {0U, 100U, 300U, 1'000U, 4'000U}) {
        tokens.add(count, measureSessions(100, count));
    }
    tokens.print();
}

void measureCodec()
{
    Series series("Peer codec, one token per frame", "bytes of text", tokenBytes, {"us per encoding", "us per decoding", "frame bytes"});
    for (const std::size_t size : {4U, 16U, 64U, 256U, 1'024U}) {
        std::vector<std::uint8_t> buffer;
        const double encoding = microsecondsPerCall(5'000, [&] {
            Wire::StreamDataT data;
            data.attempt = toWire(AttemptId{1, 1, 1});
            data.connection = 1;
            data.index = 100;
            data.data.assign(size, 'x');
            buffer.clear();
            appendFrame(buffer, toMessage(std::move(data)));
        });
        const double decoding = microsecondsPerCall(5'000, [&] {
            Wire::PeerMessageT message;
            decodeFrame(std::span<const std::uint8_t>(buffer).subspan(frameHeaderBytes), message);
        });
        series.add(static_cast<double>(size), {encoding, decoding, static_cast<double>(buffer.size())});
    }
    series.print();
}

}

int main()
{
    measureMembership();
    measureOwnership();
    measureConfiguration();
    measureSnapshots();
    measureChoice();
    measurePrefixIndex();
    measureLimitAllocators();
    measureLimitClients();
    measureDispatchers();
    measureLedgers();
    measureStreams();
    measureCodec();
    return 0;
}
