#include "Placement/PlacementTable.h"

#include "PlacementFixtures.h"
#include "Property.h"

#include <deque>
#include <map>

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

/// Owners that grant the same engines independently. Each answer begins after a fixed time, and the engine then reports what it runs.
struct Engines {
    static constexpr milliseconds step{10};
    static constexpr milliseconds answerTime{2000};

    struct Running {
        std::size_t owner;
        PlacementRequestId id;
        UpstreamId upstream;
        TimePoint firstEventAt;
        TimePoint endsAt;
        bool begun = false;
    };

    std::deque<CrashRecord> crashes;
    std::deque<PlacementTable> owners;
    std::vector<Running> running;
    std::map<UpstreamId, std::uint32_t> present;
    std::map<UpstreamId, std::uint32_t> granted;
    std::map<UpstreamId, milliseconds> firstEvent; ///< Time to the first event at engines that are slow.
    TimePoint now = TimePoint() + milliseconds(10'000);
    std::uint64_t next = 0;
    bool reports = true;

    Engines(std::size_t ownerCount, int engineCount, PlacementOptions options)
    {
        std::vector<UpstreamEntry> entries;
        entries.reserve(static_cast<std::size_t>(engineCount));
        for (int index = 0; index < engineCount; ++index) {
            entries.push_back(upstream("e" + std::to_string(index), engines, 12));
        }
        for (std::size_t index = 0; index < ownerCount; ++index) {
            owners.emplace_back(PlacementLimits(), crashes.emplace_back());
            owners.back().setOptions(options);
            owners.back().setServices({{engines, 0, engineSpec()}});
            owners.back().setUpstreams(entries, now);
        }
    }

    void apply(std::size_t owner, const PlacementActions &actions)
    {
        for (const PlacementAction &action : actions) {
            if (const auto *grant = std::get_if<Grant>(&action)) {
                const UpstreamId &id = grant->assignment.upstream;
                const auto slow = firstEvent.find(id);
                const Duration time = slow == firstEvent.end() ? grant->assignment.firstEventEstimate : Duration(slow->second);
                running.push_back({owner, grant->id, id, now + time, now + time + answerTime});
                ++present[id];
                ++granted[id];
            }
        }
    }

    void advance()
    {
        now += step;
        std::erase_if(running, [&](Running &request) {
            if (!request.begun && now >= request.firstEventAt) {
                request.begun = true;
                if (reports) {
                    owners[request.owner].loadReported(request.id, {present[request.upstream], 0, 12}, now, now);
                }
                owners[request.owner].firstEventReceived(request.id, now);
            }
            if (now < request.endsAt) {
                return false;
            }
            --present[request.upstream];
            apply(request.owner, owners[request.owner].ended(request.id, GrantOutcome::Completed, std::nullopt, now));
            return true;
        });
        for (std::size_t owner = 0; owner < owners.size(); ++owner) {
            apply(owner, owners[owner].tick(now));
        }
    }

    // Sends a short prompt to one owner after the other and returns the number of requests that ran beyond the slots, as a mean over the time.
    double run(milliseconds time, milliseconds period)
    {
        double beyond = 0;
        const TimePoint begin = now;
        TimePoint due = now;
        while (now < begin + time) {
            for (; due <= now; due += period) {
                const std::size_t owner = ++next % owners.size();
                apply(owner, owners[owner].submit(shortPrompt(next, now), now));
            }
            advance();
            for (const auto &[id, count] : present) {
                beyond += count > 12 ? count - 12 : 0;
            }
        }
        return beyond * step / time;
    }
};

}

TEST_GROUP(ReportedLoadTest){};

// Guards against two owners, each without the grants of the other, that overload engines although others have free slots.
TEST(ReportedLoadTest, TwoOwnersConvergeBelowTheSlots)
{
    Engines without(2, 10, {});
    CHECK_COMPARE(without.run(milliseconds(5000), milliseconds(30)), >, 20);
    Engines with(2, 10, {.reportedLoad = true});
    with.run(milliseconds(3000), milliseconds(30));
    CHECK_COMPARE(with.run(milliseconds(5000), milliseconds(30)), <, 2); // Of about 70 running requests.
}

// Guards against a slow engine that gets as much as the others, and against one that gets nothing after it has recovered.
TEST(ReportedLoadTest, ASlowEngineAmongTenGetsLessUntilItRecovers)
{
    const UpstreamId slow("e0");
    Engines fleet(1, 10, {.reportedLoad = true});
    fleet.firstEvent[slow] = milliseconds(1300);
    fleet.run(milliseconds(10'000), milliseconds(20));
    fleet.granted.clear();
    fleet.run(milliseconds(10'000), milliseconds(20));
    CHECK_COMPARE(fleet.granted[slow], <, 25); // Half of its part of the 500 requests.
    fleet.firstEvent.clear();
    fleet.run(milliseconds(10'000), milliseconds(20));
    LONGS_EQUAL(0, fleet.owners[0].findings(fleet.now).slowUpstreams);
}

// Guards against numbers of another meaning, or of another process, that make an upstream look full.
TEST(ReportedLoadTest, AReportWithOtherSlotsThanTheListIsIgnored)
{
    Engines fleet(1, 1, {.reportedLoad = true});
    PlacementTable &owner = fleet.owners.front();
    owner.submit(shortPrompt(1, fleet.now), fleet.now);
    owner.loadReported({HostId("entry"), 1}, {9, 0, 3}, fleet.now, fleet.now);
    LONGS_EQUAL(0, owner.findings(fleet.now).unknownRequests);
    owner.loadReported({HostId("entry"), 1}, {9, 0, 12}, fleet.now, fleet.now);
    LONGS_EQUAL(8, owner.findings(fleet.now).unknownRequests);
}

// Guards against a deployment without the option, or without the header and late answers, that places requests in another way than before.
TEST(ReportedLoadTest, WithoutReportsAndLatenessNothingChanges)
{
    Engines disabled(2, 3, {});
    Engines enabled(2, 3, {.reportedLoad = true});
    enabled.reports = false;
    for (Engines *fleet : {&disabled, &enabled}) {
        fleet->run(milliseconds(5000), milliseconds(35));
    }
    CHECK(disabled.granted == enabled.granted);
}
