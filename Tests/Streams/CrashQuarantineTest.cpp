// Comes before the CppUTest headers, whose redefinition of new breaks the pcg header.
#include "Streams/CrashQuarantine.h"
#include "Base/RandomEngine.h"

#include "Property.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace Mangofall;

namespace {

constexpr std::size_t upstreamsPerHost = 2;

/// Simulates hosts with a quarantine and two upstreams each, connected by a network that delays and repeats messages at random.
class SimulatedFleet
{
public:
    /// Requests arrive within \p arrivalSpread milliseconds and run for at most \p runTime milliseconds.
    SimulatedFleet(std::size_t hosts, std::size_t arrivalSpread, std::size_t runTime, std::uint64_t seed)
        : m_arrivalSpread(arrivalSpread)
        , m_runTime(runTime)
        , m_random(seed)
        , m_running(hosts * upstreamsPerHost)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            m_hosts.emplace_back(hostId(host), QuarantineLimits());
        }
        for (std::size_t host = 0; host < hosts; ++host) {
            std::vector<HostId> peers;
            for (std::size_t peer = 0; peer < hosts; ++peer) {
                if (peer != host) {
                    peers.push_back(hostId(peer));
                }
            }
            handle(host, PeersChanged{peers});
        }
    }

    /// Adds a caller who sends the request through random hosts until it completes, with at most \p retries retries after failures.
    void submit(const std::string &content, std::size_t retries)
    {
        m_retriesLeft[content] += retries;
        scheduleWithin(m_arrivalSpread, [this, content] {
            dispatch(content, randomBelow(m_running.size()));
        });
    }

    void run()
    {
        constexpr int maxSteps = 20'000;
        for (int step = 0; step < maxSteps && !m_queue.empty(); ++step) {
            const auto next = m_queue.begin();
            m_now = next->first;
            const auto action = next->second;
            m_queue.erase(next);
            action();
        }
        RC_ASSERT(m_queue.empty());
    }

    /// Whether no host suspects the request.
    bool isCleared(const std::string &content) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const CrashQuarantine &host) {
            return host.decide(fingerprintOf(content), m_now).rule == RunRule::Run;
        });
    }

    std::map<std::string, std::size_t> completed;
    std::map<std::string, std::size_t> refused;
    std::map<std::string, std::size_t> losses; ///< Number of upstreams that each request crashed.

private:
    static HostId hostId(std::size_t host)
    {
        return HostId(std::to_string(host));
    }

    static bool isPoison(const std::string &content)
    {
        return content.starts_with("poison");
    }

    static RequestFingerprint fingerprintOf(const std::string &content)
    {
        return {OrganisationId("o"), content};
    }

    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    void scheduleWithin(std::size_t maxMilliseconds, std::function<void()> action)
    {
        m_queue.emplace(m_now + std::chrono::milliseconds(1 + randomBelow(maxMilliseconds)), std::move(action));
    }

    void dispatch(const std::string &content, std::size_t upstream)
    {
        const std::size_t host = upstream / upstreamsPerHost;
        const RunDecision decision = m_hosts[host].decide(fingerprintOf(content), m_now);
        const bool reserved = m_hosts[host].isReserved(UpstreamId(std::to_string(upstream)));
        const bool starts = decision.rule == RunRule::Run ? !reserved : decision.rule == RunRule::RunIsolated && m_running[upstream].empty();
        if (starts) {
            start(content, upstream, decision.rule == RunRule::RunIsolated);
        } else if (decision.rule == RunRule::Refuse) {
            ++refused[content];
            retry(content);
        } else {
            const std::size_t targetHost = decision.rule == RunRule::RunElsewhere ? std::stoul(decision.host.value()) : host;
            scheduleWithin(20, [this, content, targetHost] {
                dispatch(content, targetHost * upstreamsPerHost + randomBelow(upstreamsPerHost));
            });
        }
    }

    void start(const std::string &content, std::size_t upstream, bool isolated)
    {
        const std::uint64_t run = ++m_runs;
        for (const auto &runs : m_running) {
            for (const auto &[other, running] : runs) {
                // A suspected request has no other run in progress on any host.
                RC_ASSERT(!isolated || running != content);
            }
        }
        m_running[upstream][run] = content;
        handle(upstream / upstreamsPerHost, RunStarted{fingerprintOf(content), UpstreamId(std::to_string(upstream))});
        scheduleWithin(m_runTime, [this, content, upstream, run, isolated] {
            if (!m_running[upstream].contains(run)) {
                return;
            }
            if (isPoison(content)) {
                // No other request runs on the upstream that a suspected request crashes.
                RC_ASSERT(!isolated || m_running[upstream].size() == 1U);
                crash(content, upstream);
                return;
            }
            m_running[upstream].erase(run);
            ++completed[content];
            handle(upstream / upstreamsPerHost, RunEnded{fingerprintOf(content), UpstreamId(std::to_string(upstream)), true});
        });
    }

    void crash(const std::string &content, std::size_t upstream)
    {
        ++losses[content];
        UpstreamCrashed event{UpstreamId(std::to_string(upstream)), ++m_epochs, {}};
        for (const auto &[run, running] : m_running[upstream]) {
            event.running.push_back(fingerprintOf(running));
            ++m_withheldFailures[{upstream / upstreamsPerHost, running}];
        }
        m_running[upstream].clear();
        handle(upstream / upstreamsPerHost, event);
    }

    void retry(const std::string &content)
    {
        if (m_retriesLeft[content] > 0) {
            --m_retriesLeft[content];
            scheduleWithin(50, [this, content] {
                dispatch(content, randomBelow(m_running.size()));
            });
        }
    }

    void handle(std::size_t host, const QuarantineEvent &event)
    {
        for (const QuarantineAction &action : m_hosts[host].handle(event, m_now)) {
            std::visit(
                [&](const auto &typed) {
                    on(host, typed);
                },
                action);
        }
    }

    void on(std::size_t host, const SendNotice &action)
    {
        for (std::size_t copy = 0; copy <= randomBelow(2); ++copy) {
            scheduleWithin(300, [this, host, action] {
                handle(std::stoul(action.to.value()), NoticeReceived{hostId(host), action.notice});
            });
        }
    }

    void on(std::size_t host, const AcknowledgeNotice &action)
    {
        scheduleWithin(300, [this, host, action] {
            handle(std::stoul(action.to.value()), NoticeAcknowledged{hostId(host), action.notice});
        });
    }

    void on(std::size_t host, const CancelRun &action)
    {
        const std::size_t upstream = std::stoul(action.upstream.value());
        std::map<std::uint64_t, std::string> &running = m_running[upstream];
        const auto cancelled = std::find_if(running.begin(), running.end(), [&](const auto &item) {
            return item.second == action.fingerprint.contentHash;
        });
        RC_ASSERT(cancelled != running.end());
        running.erase(cancelled);
        handle(host, RunEnded{action.fingerprint, action.upstream, false});
        retry(action.fingerprint.contentHash);
    }

    void on(std::size_t host, const ReleaseFailure &action)
    {
        const std::string &content = action.fingerprint.contentHash;
        for (std::size_t withheld = std::exchange(m_withheldFailures[{host, content}], 0); withheld > 0; --withheld) {
            retry(content);
        }
    }

    std::size_t m_arrivalSpread;
    std::size_t m_runTime;
    RandomEngine m_random;
    std::vector<CrashQuarantine> m_hosts;
    std::vector<std::map<std::uint64_t, std::string>> m_running; ///< Per upstream: run number and content.
    std::map<std::pair<std::size_t, std::string>, std::size_t> m_withheldFailures; ///< By host and content.
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::map<std::string, std::size_t> m_retriesLeft;
    std::uint64_t m_runs = 0;
    std::uint64_t m_epochs = 0;
    TimePoint m_now{};
};

CrashNotice makeNotice(std::uint64_t number, const std::string &reporter)
{
    return {number, {OrganisationId("o"), "c"}, {{UpstreamId("u" + reporter), number, HostId(reporter)}}, {}, std::chrono::minutes(1)};
}

}

TEST_GROUP(CrashQuarantineTest){};

// Guards against a poison request that crashes a third upstream through another host, and against harmless requests that are quarantined because
// they were running on the same upstream.
TEST(CrashQuarantineTest, PoisonRequestCrashesAtMostTwoUpstreamsAndOthersComplete)
{
    Testing::checkProperty("losses are bounded and harmless requests complete", [](std::uint64_t seed) {
        const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(2, 7));
        const auto harmlessRequests = static_cast<std::size_t>(*rc::gen::inRange(0, 30));
        const auto poisons = static_cast<std::size_t>(*rc::gen::inRange(1, 3));
        const auto callers = static_cast<std::size_t>(*rc::gen::inRange(1, 3));
        // With a short spread, many requests are running at the first crash; with a long one, many arrive during the isolated run.
        const auto arrivalSpread = static_cast<std::size_t>(*rc::gen::element(50, 500, 2000));
        // Long runs last longer than the exchange of notices.
        const auto runTime = static_cast<std::size_t>(*rc::gen::element(100, 1500));
        SimulatedFleet fleet(hosts, arrivalSpread, runTime, seed);
        constexpr std::size_t retries = 8;
        constexpr std::size_t unlimited = 1000;
        for (std::size_t poison = 0; poison < poisons; ++poison) {
            for (std::size_t caller = 0; caller < callers; ++caller) {
                fleet.submit("poison" + std::to_string(poison), retries);
            }
        }
        for (std::size_t harmless = 0; harmless < harmlessRequests; ++harmless) {
            fleet.submit("harmless" + std::to_string(harmless), unlimited);
        }
        fleet.run();
        std::size_t crashes = 0;
        for (std::size_t poison = 0; poison < poisons; ++poison) {
            const std::string content = "poison" + std::to_string(poison);
            RC_ASSERT(fleet.losses[content] <= 2U);
            RC_ASSERT(fleet.refused[content] >= 1U);
            crashes += fleet.losses[content];
        }
        // A poison request may be quarantined for crashes that another poison request caused, but this cannot be true of all poison requests.
        RC_ASSERT(crashes >= 2U);
        for (std::size_t harmless = 0; harmless < harmlessRequests; ++harmless) {
            const std::string content = "harmless" + std::to_string(harmless);
            RC_ASSERT(fleet.completed[content] == 1U);
            RC_ASSERT(fleet.refused[content] == 0U);
            RC_ASSERT(fleet.isCleared(content));
        }
    });
}

// Guards against a result that depends on the order in which notices arrive.
TEST(CrashQuarantineTest, NoticesMergeInAnyOrder)
{
    const RequestFingerprint fingerprint{OrganisationId("o"), "c"};
    for (const bool swapped : {false, true}) {
        CrashQuarantine quarantine(HostId("self"), {});
        quarantine.handle(PeersChanged{{HostId("a"), HostId("b")}}, TimePoint{});
        quarantine.handle(NoticeReceived{HostId("a"), makeNotice(1, swapped ? "b" : "a")}, TimePoint{});
        CHECK(quarantine.decide(fingerprint, TimePoint{}).rule == RunRule::RunElsewhere);
        quarantine.handle(NoticeReceived{HostId("b"), makeNotice(2, swapped ? "a" : "b")}, TimePoint{});
        CHECK(quarantine.decide(fingerprint, TimePoint{}).rule == RunRule::Refuse);
        // A clearance that arrives before a resent notice remains valid.
        CrashNotice cleared = makeNotice(2, swapped ? "a" : "b");
        cleared.cleared = cleared.losses;
        quarantine.handle(NoticeReceived{HostId("b"), cleared}, TimePoint{});
        quarantine.handle(NoticeReceived{HostId("b"), makeNotice(2, swapped ? "a" : "b")}, TimePoint{});
        CHECK(quarantine.decide(fingerprint, TimePoint{}).rule == RunRule::RunElsewhere);
    }
}

// Guards against a third loss if a peer's notice of a second crash arrives after its acknowledgement of the notice of the first.
TEST(CrashQuarantineTest, AcknowledgementReportsAnotherCrash)
{
    const RequestFingerprint fingerprint{OrganisationId("o"), "c"};
    CrashQuarantine quarantine(HostId("self"), {});
    quarantine.handle(PeersChanged{{HostId("a")}}, TimePoint{});
    const auto crashed = quarantine.handle(UpstreamCrashed{UpstreamId("u"), 1, {fingerprint}}, TimePoint{});
    CrashNotice answer = std::get<SendNotice>(crashed.front()).notice;
    answer.losses.insert(CrashLoss{UpstreamId("v"), 1, HostId("a")});
    quarantine.handle(NoticeAcknowledged{HostId("a"), answer}, TimePoint{});
    CHECK(quarantine.decide(fingerprint, TimePoint{}).rule == RunRule::Refuse);
}

// Guards against a retry before the peers know of the crash, a host that waits forever for a dead peer, and entries that never expire.
TEST(CrashQuarantineTest, WaitsForPeersThenExpires)
{
    const RequestFingerprint fingerprint{OrganisationId("o"), "c"};
    const QuarantineLimits limits;
    CrashQuarantine quarantine(HostId("self"), limits);
    quarantine.handle(PeersChanged{{HostId("a"), HostId("b")}}, TimePoint{});
    const auto crashed = quarantine.handle(UpstreamCrashed{UpstreamId("u"), 1, {fingerprint}}, TimePoint{});
    LONGS_EQUAL(2, crashed.size());
    CHECK(quarantine.decide(fingerprint, TimePoint{}).rule == RunRule::Wait);
    const CrashNotice notice = std::get<SendNotice>(crashed.front()).notice;
    LONGS_EQUAL(0, quarantine.handle(NoticeAcknowledged{HostId("a"), notice}, TimePoint{}).size());
    const TimePoint timeout = TimePoint{} + limits.noticeTimeout;
    LONGS_EQUAL(0, quarantine.handle(NoticeAcknowledged{HostId("a"), notice}, timeout - Duration(1)).size());
    const auto released = quarantine.handle(QuarantineTick{}, timeout);
    CHECK(std::holds_alternative<ReleaseFailure>(released.front()));
    CHECK(quarantine.decide(fingerprint, timeout).rule == RunRule::RunIsolated);
    quarantine.handle(QuarantineTick{}, TimePoint{} + limits.lifetime);
    LONGS_EQUAL(0, quarantine.size());
}

// Guards against memory that grows with the number of crashes, and against evicting a quarantined request before suspected ones.
TEST(CrashQuarantineTest, EntriesAreBounded)
{
    QuarantineLimits limits;
    limits.maxEntries = 4;
    CrashQuarantine quarantine(HostId("self"), limits);
    const RequestFingerprint poison{OrganisationId("o"), "poison"};
    quarantine.handle(UpstreamCrashed{UpstreamId("u"), 1, {poison}}, TimePoint{});
    quarantine.handle(UpstreamCrashed{UpstreamId("u"), 2, {poison}}, TimePoint{});
    for (int count = 0; count < 10; ++count) {
        quarantine.handle(UpstreamCrashed{UpstreamId("v"), 1, {{OrganisationId("o"), std::to_string(count)}}}, TimePoint{});
        CHECK(quarantine.size() <= limits.maxEntries);
    }
    CHECK(quarantine.decide(poison, TimePoint{}).rule == RunRule::Refuse);
}
