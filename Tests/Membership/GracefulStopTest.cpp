// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/GracefulStop.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool exits(const GracefulStop::Actions &actions)
{
    return std::any_of(actions.begin(), actions.end(), [](const StopAction &action) {
        return std::holds_alternative<ExitProcess>(action);
    });
}

}

TEST_GROUP(GracefulStopTest){};

// Guards against a stop that interrupts an admitted request, exits twice or exits after latestExit(), for any order of signals and admissions.
TEST(GracefulStopTest, InterruptsNoAdmittedRequest)
{
    Testing::checkProperty("the process exits only when every admitted request has finished or is overdue", [] {
        GracefulStop stop{GracefulStopSettings()};
        TimePoint now{seconds(100)};
        std::map<RequestId, TimePoint> running;
        bool stopped = false;
        bool exited = false;
        for (int step = 0; step < 60 && !exited; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 2000));
            StopEvent event = StopTick();
            const int choice = *rc::gen::inRange(0, 10);
            if (choice < 2) {
                event = StopRequested();
            } else if (choice < 4) {
                const RequestAdmitted admitted{RequestId(std::to_string(step)), now + milliseconds(*rc::gen::inRange(0, 20'000))};
                running[admitted.request] = admitted.deadline;
                event = admitted;
            } else if (choice < 6 && !running.empty()) {
                event = RequestFinished{running.begin()->first};
                running.erase(running.begin());
            } else if (choice == 6) {
                event = HandOverConfirmed();
            }
            const auto bound = stop.latestExit();
            const auto actions = stop.handle(event, now);
            const bool signal = std::holds_alternative<StopRequested>(event);
            RC_ASSERT(!(signal && stopped) || actions.empty());
            stopped = stopped || signal;
            exited = exits(actions);
            RC_ASSERT(!exited || stopped);
            RC_ASSERT(!exited || std::all_of(running.begin(), running.end(), [&](const auto &entry) {
                return entry.second < now;
            }));
            RC_ASSERT(exited || !std::holds_alternative<StopTick>(event) || !bound || now < *bound);
        }
        RC_ASSERT(!exited || !exits(stop.handle(StopTick(), now + seconds(100))));
    });
}

// Guards against an idle host that waits before it exits, and a busy host that exits before the hand-over of its dispatchers.
TEST(GracefulStopTest, IdleHostExitsAtOnceBusyHostHandsOver)
{
    const TimePoint now{seconds(100)};
    GracefulStop idle{GracefulStopSettings()};
    const auto actions = idle.handle(StopRequested(), now);
    LONGS_EQUAL(4, actions.size());
    CHECK(std::holds_alternative<AnnounceLeaving>(actions[0]) && exits(actions));
    GracefulStop busy{GracefulStopSettings()};
    busy.handle(RequestAdmitted{RequestId("r"), now + seconds(60)}, now);
    LONGS_EQUAL(3, busy.handle(StopRequested(), now).size());
    CHECK(busy.latestExit() == now + seconds(61));
    CHECK(busy.handle(RequestFinished{RequestId("r")}, now + seconds(1)).empty());
    CHECK(exits(busy.handle(HandOverConfirmed(), now + seconds(2))));
}
