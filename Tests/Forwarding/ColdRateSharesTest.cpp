#include "Forwarding/ColdRateShares.h"

#include "Placement/RateWindow.h"
#include "Property.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double rate = 26;
constexpr milliseconds step{10};
const ServiceId service("s");

HostId hostId(std::size_t index)
{
    return HostId("h" + std::to_string(index));
}

std::vector<HostId> hostIds(std::size_t count)
{
    std::vector<HostId> ids;
    for (std::size_t index = 0; index < count; ++index) {
        ids.push_back(hostId(index));
    }
    return ids;
}

// Hosts that each take any host for the owner, and grant a cold upstream as many requests as they may.
struct Simulation {
    struct Message {
        TimePoint arrival;
        std::size_t from = 0;
        std::size_t to = 0;
        TimePoint calledAt;
        bool isAnswer = false;
    };
    struct Host {
        ColdRateShares shares;
        Placement::RateWindow window{seconds(1), rate};
        std::size_t owner = 0;
        TimePoint pausedUntil;
        Placement::ColdShare share{0, TimePoint()};

        explicit Host(const HostId &id)
            : shares(id)
        {
        }
    };

    std::mt19937 random;
    TimePoint now = TimePoint() + seconds(100);
    std::vector<HostId> ids;
    std::vector<Host> hosts;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cutUntil;
    std::vector<Message> messages;
    std::vector<TimePoint> grants;

    Simulation(std::uint32_t seed, std::size_t count)
        : random(seed)
        , ids(hostIds(count))
    {
        for (const HostId &id : ids) {
            hosts.emplace_back(id);
        }
    }

    std::size_t draw(std::size_t count)
    {
        return random() % count;
    }

    void send(std::size_t from, std::size_t to, TimePoint calledAt, bool isAnswer)
    {
        if (now >= cutUntil[{std::min(from, to), std::max(from, to)}]) {
            messages.push_back({now + milliseconds(draw(draw(10) == 0 ? 900 : 40)), from, to, calledAt, isAnswer});
        }
    }

    void deliver(const Message &message)
    {
        Host &receiver = hosts[message.to];
        if (message.isAnswer) {
            receiver.shares.lent(service, ids[message.from], message.calledAt);
        } else if (receiver.owner == message.from && receiver.shares.lend(service, ids[message.from], now)) {
            send(message.to, message.from, message.calledAt, true);
        }
    }

    bool isTakenForOwner(std::size_t index) const
    {
        return std::any_of(hosts.begin(), hosts.end(), [&](const Host &host) {
            return host.owner == index;
        });
    }

    void act(std::size_t index)
    {
        Host &host = hosts[index];
        if (now < host.pausedUntil || !isTakenForOwner(index)) {
            return;
        }
        host.share = host.shares.share(service, ids, now);
        const bool isShort = !host.window.hasRoom(now, host.share.at(now)) && host.window.hasRoom(now);
        for (const auto &[called, services] : host.shares.takeCalls({{service, isShort}}, ids, now)) {
            send(index, static_cast<std::size_t>(std::find(ids.begin(), ids.end(), called) - ids.begin()), now, false);
        }
        grant(host);
    }

    void grant(Host &host)
    {
        while (host.window.hasRoom(now, host.share.at(now))) {
            host.window.add(now);
            grants.push_back(now);
        }
    }

    void changeSomething()
    {
        switch (draw(3)) {
        case 0:
            hosts[draw(hosts.size())].owner = draw(hosts.size());
            break;
        case 1: {
            const std::size_t first = draw(hosts.size());
            const std::size_t second = draw(hosts.size());
            cutUntil[{std::min(first, second), std::max(first, second)}] = now + milliseconds(draw(4000));
            break;
        }
        default: {
            // A host that goes on after a pause may grant before it knows of it.
            Host &host = hosts[draw(hosts.size())];
            host.pausedUntil = now + milliseconds(draw(2000));
        }
        }
    }

    void run(milliseconds time, bool changing)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            if (changing && draw(20) == 0) {
                changeSomething();
            }
            std::vector<Message> due;
            std::erase_if(messages, [&](const Message &message) {
                const bool arrives = message.arrival <= now && now >= hosts[message.to].pausedUntil;
                if (arrives) {
                    due.push_back(message);
                }
                return arrives;
            });
            for (const Message &message : due) {
                deliver(message);
                grant(hosts[message.to]);
            }
            for (std::size_t index = 0; index < hosts.size(); ++index) {
                act(index);
            }
        }
    }

    std::size_t mostGrantsInSecond() const
    {
        std::size_t most = 0;
        for (auto first = grants.begin(); first != grants.end(); ++first) {
            const auto last = std::lower_bound(first, grants.end(), *first + seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
};

}

TEST_GROUP(ColdRateSharesTest){};

// Guards against a cold upstream that gets its rate several times because hosts that cannot reach each other each take themselves for the owner.
TEST(ColdRateSharesTest, AllHostsTogetherKeepTheRateWhateverEachBelieves)
{
    Mangofall::Testing::checkProperty("all hosts together keep the rate", [](std::uint32_t seed) {
        Simulation simulation(seed, 2 + seed % 6);
        simulation.run(seconds(12), true);
        RC_ASSERT(simulation.mostGrantsInSecond() <= static_cast<std::size_t>(rate));
    });
}

// Guards against a part of the rate that stays lost after the hosts are in touch again.
TEST(ColdRateSharesTest, TheWholeRateIsUsedOnceAllHostsAgree)
{
    Mangofall::Testing::checkProperty("the whole rate is used again", [](std::uint32_t seed) {
        Simulation simulation(seed, 2 + seed % 6);
        simulation.run(seconds(6), true);
        for (Simulation::Host &host : simulation.hosts) {
            host.owner = 0;
        }
        simulation.cutUntil.clear();
        simulation.run(seconds(4), false);
        simulation.grants.clear();
        simulation.run(seconds(3), false);
        RC_ASSERT(simulation.grants.size() >= static_cast<std::size_t>(2 * rate));
    });
}

// Guards against a fleet of one host that waits for members which it does not have.
TEST(ColdRateSharesTest, AHostAloneHasTheWholeRate)
{
    ColdRateShares shares(hostId(0));
    CHECK(shares.share(service, {}, TimePoint() + seconds(1)).at(TimePoint() + seconds(9)) == 1);
}

// Guards against a share that two owners use, because the member lent it again while the first loan, or the last grant under it, was in use.
TEST(ColdRateSharesTest, AShareIsLentToAnotherHostOnlyAfterTheLoan)
{
    ColdRateShares member(hostId(0));
    const TimePoint now = TimePoint() + seconds(100);
    CHECK(member.lend(service, hostId(1), now));
    CHECK(member.lend(service, hostId(1), now));
    CHECK_FALSE(member.lend(service, hostId(2), now + milliseconds(1800)));
    CHECK(member.share(service, hostIds(3), now + milliseconds(1800)).fraction == 0);
    CHECK(member.lend(service, hostId(2), now + milliseconds(1900)));
}

// Guards against a host that is passed over although it answers, or although it is of a version that does not know the calls.
TEST(ColdRateSharesTest, OnlyAMemberThatHasAnsweredBeforeIsSilent)
{
    ColdRateShares shares(hostId(0));
    const TimePoint start = TimePoint() + seconds(100);
    std::vector<HostId> silent;
    for (TimePoint now = start; now < start + seconds(5); now += milliseconds(100)) {
        shares.takeCalls({{service, true}}, hostIds(3), now);
        if (now < start + seconds(2)) {
            shares.answered(hostId(2));
        }
        for (const HostId &host : shares.takeSilent(now)) {
            CHECK(now > start + milliseconds(2900));
            silent.push_back(host);
        }
    }
    CHECK_FALSE(silent.empty());
    CHECK(std::find(silent.begin(), silent.end(), hostId(1)) == silent.end());
}

// Guards against a large fleet in which an owner asks all hosts again and again for a few requests.
TEST(ColdRateSharesTest, MoreMembersAreAskedOnlyWhileTheSharesAreNotEnough)
{
    ColdRateShares shares(hostId(0));
    const std::vector<HostId> ids = hostIds(10);
    TimePoint now = TimePoint() + seconds(100);
    LONGS_EQUAL(2, shares.takeCalls({{service, true}}, ids, now).size());
    CHECK(shares.takeCalls({{service, true}}, ids, now + milliseconds(10)).empty());
    for (int raise = 0; raise < 4; ++raise) {
        now += milliseconds(60);
        shares.takeCalls({{service, true}}, ids, now);
    }
    now += milliseconds(200);
    LONGS_EQUAL(9, shares.takeCalls({{service, false}}, ids, now).size());
    for (int second = 0; second < 7; ++second) {
        now += seconds(1);
        shares.takeCalls({{service, false}}, ids, now);
    }
    now += seconds(1);
    LONGS_EQUAL(2, shares.takeCalls({{service, false}}, ids, now).size());
}
